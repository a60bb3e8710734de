import { describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import { RowStore } from '../platform/rowstore.js'
import { MonotonicClock } from '../src/base/index.js'
import { Follower, Replica, type Row } from '../src/store/index.js'
import { RowsStandin } from '../standins/rows.js'
import { waitFor } from './hostprocess.js'

/** The users' `contact_ms` and `config_apply_ms`, in milliseconds. */
const CONTACT_MS = 3_000
const CONFIG_APPLY_MS = 2_000

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

describe('a store that returns from a copy', () => {
  // Guards against old deployments in force: the copy's versions are given out again, and new rows look outdated.
  it('does not hide the changes that are made then', async () => {
    const standin = await RowsStandin.start()
    const store = new RowStore(standin.address)
    const rowsByKey = new Map<string, Row>()
    const replica = new Replica('op', row => rowsByKey.set(row.key, row).has(row.key))
    const observer = { storeRecovered: () => undefined, storeClockRead: () => undefined }
    const log = createLogger({ name: 'test', level: 60 })
    const follower = new Follower(store, replica, observer, new MonotonicClock(), log)
    const readVersion = (): unknown =>
      (JSON.parse(rowsByKey.get('config')?.value?.toString() ?? '{}') as { version?: number }).version
    try {
      standin.put('op', 'config', { version: 1 })
      const copy = standin.takeCopy()
      for (const version of [2, 3, 4]) standin.put('op', 'config', { version })
      await waitFor(() => readVersion() === 4)
      standin.restore(copy)
      standin.put('op', 'config', { version: 5 })
      await sleep(CONTACT_MS + CONFIG_APPLY_MS)
      expect(readVersion()).toEqual(5)
    } finally {
      follower.close()
      await store.close()
      standin.close()
    }
  })
})
