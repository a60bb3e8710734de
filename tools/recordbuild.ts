/**
 * Records what this build sends to other hosts and writes to the store, so that the tests of later builds can check
 * that they read it: `npx tsx tools/recordbuild.ts NAME` writes test/landed/NAME, which is never changed afterwards.
 */
import { copyFileSync, mkdirSync, readdirSync, writeFileSync } from 'node:fs'
import { basename, dirname, join } from 'node:path'
import { recordMessages } from '../test/messagesamples.js'

const PROTOCOLS = ['dispatch/dispatch.proto', 'relay/relay.proto']

const [name] = process.argv.slice(2)
if (name === undefined || readdirSync('test/landed').includes(name)) {
  process.stderr.write(`"${name}": expected a name that test/landed does not contain\n`)
  process.exit(2)
}
const directory = join('test/landed', name)
for (const path of PROTOCOLS) {
  mkdirSync(join(directory, dirname(path)), { recursive: true })
  copyFileSync(join('src', path), join(directory, dirname(path), basename(path)))
}
writeFileSync(join(directory, 'messages.json'), `${JSON.stringify(recordMessages(), undefined, 1)}\n`)
