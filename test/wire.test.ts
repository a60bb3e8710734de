import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { expect } from 'earl'

/** Names of the users' platform that say by themselves where they come from. */
const WIRE_NAMES = ['attempt-id', 'deadline-ms', 'expected-instance', 'response-signature', 'not-executed',
  'token-usage', 'prompt-prefix', 'weight-versions', 'length-hint', 'pin-ms', 'kv-', 'rows-get', 'rows-feed', 'rows-tx',
  'row_version', 'expected_revision', 'tombstone', 'weighted_backends', 'session_affinity', 'max_attempts', 'api_keys',
  'target_latency_ms', 'uncached_tokens', 'internal_port_range', '/marigoldvalve/', 'rollout', 'rolled_back',
  'duration_s', 'now_ms', 'exposure_share']

function sources (folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter(name => name.endsWith('.ts') && !name.endsWith('_pb.ts')).map(name => join(folder, name))
}

describe('the adapter', () => {
  for (const name of WIRE_NAMES) {
    it(`keeps "${name}" to itself`, () => {
      const knowing = sources('src').filter(file => readFileSync(file, 'utf8').toLowerCase().includes(name))
      expect(knowing).toEqual([])
    })
  }
})
