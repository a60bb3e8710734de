/** Bundles the program and the stand-ins into single files. */
import { build } from 'esbuild'
import { argv } from 'node:process'
import { fileURLToPath } from 'node:url'

const shared = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support', 'unix-dgram'],
  legalComments: 'none',
  logLevel: 'warning'
}

/**
 * @param {string} entryPoint - the program's entry point
 * @param {string} outfile - the file to write
 * @param {boolean} [minify] - whether to leave out white space, which a process otherwise holds in memory
 */
export async function bundle (entryPoint, outfile, minify = false) {
  await build({ ...shared, entryPoints: [entryPoint], outfile, minifyWhitespace: minify, minifySyntax: minify })
}

if (argv[1] === fileURLToPath(import.meta.url)) {
  await bundle('src/cli/main.ts', 'dist/marigoldvalve.cjs')
  await bundle('standins/main.ts', 'dist/standin.cjs')
}
