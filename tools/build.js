/** Bundles the program and the stand-ins into single files. */
import { build } from 'esbuild'

const shared = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support', 'unix-dgram'],
  legalComments: 'none',
  logLevel: 'warning'
}

await build({ ...shared, entryPoints: ['src/cli/main.ts'], outfile: 'dist/marigoldvalve.cjs' })
await build({ ...shared, entryPoints: ['standins/main.ts'], outfile: 'dist/standin.cjs' })
