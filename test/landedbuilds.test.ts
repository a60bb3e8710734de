import { execFileSync } from 'node:child_process'
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { describe, it } from 'node:test'
import { fromBinary, toJson } from '@bufbuild/protobuf'
import { expect } from 'earl'
import { MESSAGE_TYPES, type RecordedMessage } from './messagesamples.js'

/** What each landed build sends to other hosts; see tools/recordbuild.ts. */
const LANDED = 'test/landed'

/** Directories of the protocols between hosts, in src/ and in the records. */
const PROTOCOLS = ['dispatch', 'relay']

/** Rules for messages in protocol buffers' binary format: numbers and types of fields. */
const CONFIG = JSON.stringify({ version: 'v2', breaking: { use: ['WIRE'] } })

/** @returns the changes of the protocols since a landed build that break its messages; empty if there are none */
function findBreakingChanges (build: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
  try {
    for (const protocol of PROTOCOLS) cpSync(join('src', protocol), join(directory, protocol), { recursive: true })
    const buf = resolve('node_modules/.bin/buf')
    const args = ['breaking', '.', '--against', resolve(LANDED, build), '--config', CONFIG]
    execFileSync(buf, args, { cwd: directory, stdio: 'pipe' })
    return ''
  } catch (thrown) {
    const { stdout, stderr } = thrown as { stdout: Buffer, stderr: Buffer }
    return `${String(stdout)}${String(stderr)}`
  } finally {
    rmSync(directory, { recursive: true })
  }
}

describe('messages of landed builds', () => {
  for (const build of readdirSync(LANDED)) {
    // Guards against hosts of two builds that misread each other while one build replaces the other.
    it(`have the same field numbers and types (${build})`, () => {
      expect(findBreakingChanges(build)).toEqual('')
    })

    it(`are read as they were written (${build})`, () => {
      const messages = JSON.parse(readFileSync(join(LANDED, build, 'messages.json'), 'utf8')) as RecordedMessage[]
      expect(messages.length > 0).toEqual(true)
      const read = messages.map(({ type, bytes }) => {
        const messageType = MESSAGE_TYPES[type]!
        return toJson(messageType, fromBinary(messageType, Buffer.from(bytes, 'base64')))
      })
      expect(read).toEqual(messages.map(({ fields }) => fields as never))
    })
  }
})
