/** Bundles the program and the stand-ins into one file each. */
import { build } from 'esbuild'
import { argv } from 'node:process'
import { fileURLToPath } from 'node:url'

const commonOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support', 'unix-dgram'],
  legalComments: 'none',
  logLevel: 'warning'
}

/**
 * @param {string} entryPoint - path of the entry module
 * @param {string} outfile - path of the output file
 * @param {boolean} [minify] - whether to minify white space and syntax; the process keeps the source text in memory
 */
export async function bundle (entryPoint, outfile, minify = false) {
  await build({ ...commonOptions, entryPoints: [entryPoint], outfile, minifyWhitespace: minify, minifySyntax: minify })
}

if (argv[1] === fileURLToPath(import.meta.url)) {
  await bundle('src/cli/main.ts', 'dist/marigoldvalve.cjs')
  await bundle('standins/main.ts', 'dist/standin.cjs')
}
