import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import * as fc from 'fast-check'
import { RowStore } from '../platform/rowstore.js'
import { MonotonicClock } from '../src/base/index.js'
import { Follower, Replica, revisionOf, type Row } from '../src/store/index.js'
import { RowsStandin } from '../standins/rows.js'
import { fuzzParameters } from './fuzzparameters.js'
import { killHostProcess, startHostProcess, waitFor } from './hostprocess.js'
import { storeObserver } from './storeobserver.js'

/** The users' `contact_ms` and `config_apply_ms`, in milliseconds. */
const CONTACT_MS = 3_000
const CONFIG_APPLY_MS = 2_000

/** First port of the host under test. Fixed, since the settings name every port, as on the platform. */
const FIRST_PORT = 28_850

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
    const log = createLogger({ name: 'test', level: 60 })
    const follower = new Follower(store, replica, storeObserver(), new MonotonicClock(), log)
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

describe('a host whose store returns from a copy', () => {
  const directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
  after(() => rmSync(directory, { recursive: true }))

  // Guards against hosts that do not know each other: the copy is from before this one joined the members. Twice, since
  // a store may return from a copy again within seconds.
  it('adds itself to the members again, and applies the deployments that follow', async () => {
    const store = await RowsStandin.start()
    const copy = store.takeCopy()
    const host = startHostProcess({
      directory, index: 0, firstPort: FIRST_PORT, storeAddress: store.address, budgetSlack: 50, isFirstStart: true
    })
    const putDeployment = (version: number): void => store.put('op', 'config', {
      version,
      routes: [],
      services: [],
      limits: { max_header_bytes: 16384, max_body_bytes: 10000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
    })
    const isInForce = (version: number): boolean => host.output.includes(`"event":"deployment","revision":${version},`)
    try {
      putDeployment(1)
      await waitFor(() => isInForce(1) && store.read('members', 'host-0') !== undefined)
      for (const version of [2, 3]) {
        store.restore(copy)
        await waitFor(() => store.read('members', 'host-0') !== undefined)
        putDeployment(version)
        await waitFor(() => isInForce(version))
      }
      expect(host.output).toInclude('"event":"store-returned"')
    } finally {
      await killHostProcess(host)
      store.close()
    }
  })
})

describe('RowStore', () => {
  // Guards against a condition that holds by chance: the store gives out the versions of an earlier era again.
  it('writes nothing on condition of a revision of an earlier era', async () => {
    const standin = await RowsStandin.start()
    const store = new RowStore(standin.address)
    const write = { table: 'members', key: 'h', value: Buffer.from('{}') }
    const copy = standin.takeCopy()
    const expectedRevision = (await store.write([write]))._unsafeUnwrap()
    standin.restore(copy)
    expect((await store.write([write])).isOk()).toEqual(true)
    expect((await store.write([{ ...write, expectedRevision }]))._unsafeUnwrapErr().code).toEqual('conflict')
    await store.close()
    standin.close()
  })
})

describe('a replica', () => {
  type Action = 'write' | 'remove' | 'copy' | 'restore' | 'list' | 'gossip'
  const actions = fc.array(fc.record({
    action: fc.constantFrom<Action>('write', 'write', 'remove', 'copy', 'restore', 'list', 'gossip'),
    key: fc.constantFrom('a', 'b', 'c'),
    host: fc.constantFrom(0, 1)
  }), { maxLength: 40 })

  /** Rows of the store, with versions that go back when it returns from a copy. */
  class StoreModel {
    era = 1
    version = 0
    rows = new Map<string, Row>()
    /** Texts that the store has held in this era. */
    texts = new Set<string>()
    copy = { version: 0, rows: new Map<string, Row>() }

    write (key: string, text: string | undefined): void {
      this.version++
      if (text !== undefined) this.texts.add(text)
      if (text === undefined) this.rows.delete(key)
      else this.rows.set(key, { table: 't', key, value: Buffer.from(text), revision: this.version })
    }

    restore (): void {
      this.era++
      this.version = this.copy.version
      this.rows = new Map(this.copy.rows)
      this.texts = new Set([...this.rows.values()].map(({ value }) => value!.toString()))
    }

    list (replica: Replica): void {
      const rows = [...this.rows.values()].map(row => ({ ...row, revision: revisionOf(this.era, row.revision) }))
      replica.applyTable(rows, revisionOf(this.era, this.version), 0)
    }
  }

  // Guards against rows of a lost era that gossip brings back, and against rows of the new era that it hides.
  it('equals the store after any eras, gossip and late lists', () => {
    fc.assert(fc.property(actions, steps => {
      const store = new StoreModel()
      const views = [new Map<string, string>(), new Map<string, string>()]
      const listedEras = [0, 0]
      const replicas = views.map(view => new Replica('t', row => {
        if (row.value === undefined) view.delete(row.key)
        else view.set(row.key, row.value.toString())
        return true
      }))
      steps.forEach(({ action, key, host }, index) => {
        const [replica, other] = [replicas[host]!, replicas[1 - host]!]
        if (action === 'write') store.write(key, `text ${index}`)
        else if (action === 'remove') store.write(key, undefined)
        else if (action === 'copy') store.copy = { version: store.version, rows: new Map(store.rows) }
        else if (action === 'restore') store.restore()
        else if (action === 'list') {
          store.list(replica)
          listedEras[host] = store.era
        } else for (const row of replica.rowsAfter(other.newestRevision)) other.apply(row, 0)
        views.forEach((view, viewer) => {
          if (listedEras[viewer] !== store.era) return
          expect([...view.values()].filter(text => !store.texts.has(text))).toEqual([])
        })
      })
      for (const replica of replicas) store.list(replica)
      const expected = [...store.rows].map(([key, row]) => `${key}: ${row.value?.toString() ?? ''}`).sort()
      for (const view of views) expect([...view].map(([key, text]) => `${key}: ${text}`).sort()).toEqual(expected)
    }), fuzzParameters(3_000))
  })
})
