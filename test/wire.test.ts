import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { expect } from 'earl'

/** Names that are specific to the platform and must not occur outside the adapter. */
const PLATFORM_NAMES = ['attempt-id', 'deadline-ms', 'expected-instance', 'response-signature', 'not-executed',
  'token-usage', 'prompt-prefix', 'weight-versions', 'length-hint', 'pin-ms', 'kv-', 'rows-get', 'rows-feed', 'rows-tx',
  'row_version', 'expected_revision', 'tombstone', 'weighted_backends', 'session_affinity', 'max_attempts', 'api_keys',
  'target_latency_ms', 'uncached_tokens', 'internal_port_range', '/marigoldvalve/', 'rollout', 'rolled_back',
  'duration_s', 'now_ms', 'exposure_share']

/** Lists the TypeScript sources of a folder, without generated code. */
function sourceFiles (folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter(name => name.endsWith('.ts') && !name.endsWith('_pb.ts')).map(name => join(folder, name))
}

describe('the platform adapter', () => {
  for (const name of PLATFORM_NAMES) {
    it(`is the only code that contains "${name}"`, () => {
      const matchingFiles = sourceFiles('src').filter(file => readFileSync(file, 'utf8').toLowerCase().includes(name))
      expect(matchingFiles).toEqual([])
    })
  }
})
