/** Builds a single executable by injecting the bundle into a copy of the Node runtime. */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'

const OUTPUT = 'dist/marigoldvalve'
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

writeFileSync('dist/sea.json', JSON.stringify({
  main: 'dist/marigoldvalve.cjs', output: 'dist/sea.blob', disableExperimentalSEAWarning: true
}))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'])
copyFileSync(process.execPath, OUTPUT)
chmodSync(OUTPUT, 0o755)
const { inject } = createRequire(import.meta.url)('postject')
const { readFileSync } = await import('node:fs')
await inject(OUTPUT, 'NODE_SEA_BLOB', readFileSync('dist/sea.blob'), { sentinelFuse: SENTINEL_FUSE })
