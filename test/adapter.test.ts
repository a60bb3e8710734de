import { afterEach, beforeEach, describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import { RowStore } from '../platform/rowstore.js'
import { readDeployment } from '../platform/deployment.js'
import { readServer } from '../platform/server.js'
import { MonotonicClock } from '../src/base/index.js'
import { Follower, Replica, type Row } from '../src/store/index.js'
import { RowsStandin, StoreFault } from '../standins/rows.js'
import { storeObserver } from './storeobserver.js'

/**
 * Limit within which the removal of a server's row must be noticed, in milliseconds. Users require that a draining
 * server gets its last request within two seconds; a quarter of that is left for requests in flight.
 */
const REMOVAL_NOTICE_LIMIT_MS = 1_500

const log = createLogger({ name: 'test', level: 60 })

async function waitFor (condition: () => boolean): Promise<void> {
  for (let i = 0; i < 500 && !condition(); i++) await new Promise(resolve => setTimeout(resolve, 10))
  expect(condition()).toEqual(true)
}

function encodeJson (value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value))
}

describe('Follower', () => {
  let standin: RowsStandin
  let store: RowStore
  let follower: Follower
  let recoveryCount = 0
  const rowsByKey = new Map<string, Row>()

  beforeEach(async () => {
    rowsByKey.clear()
    recoveryCount = 0
    standin = await RowsStandin.start()
    store = new RowStore(standin.address)
    standin.put('servers', 'a', { at: 1 })
    const replica = new Replica('servers', row => {
      const previous = rowsByKey.get(row.key)
      rowsByKey.set(row.key, row)
      return previous?.value?.toString() !== row.value?.toString()
    })
    const observer = storeObserver({ storeRecovered: () => { recoveryCount++ } })
    follower = new Follower(store, replica, observer, new MonotonicClock(), log)
    // The outages below must hit a long poll that the store holds open, not a call that is still in transit.
    await waitFor(() => rowsByKey.has('a') && standin.pendingFeedCount === 1)
  })

  afterEach(async () => {
    follower.close()
    await store.close()
    standin.close()
  })

  it('reports written and removed rows', async () => {
    standin.put('servers', 'b', { at: 2 })
    await waitFor(() => rowsByKey.get('b')?.value !== undefined)
    standin.put('servers', 'b', undefined)
    await waitFor(() => rowsByKey.get('b')?.value === undefined)
  })

  // Guards against a late start: all hosts lose power while the store is unreachable. A host that restarts cannot serve
  // any request until it has read the tables.
  it('reads the tables soon after the store recovers if the first calls were not answered', async () => {
    standin.fault = StoreFault.silent
    const newRows: Row[] = []
    const replica = new Replica('servers', row => newRows.push(row) > 0)
    const lateFollower = new Follower(store, replica, storeObserver(), new MonotonicClock(), log)
    await new Promise(resolve => setTimeout(resolve, 300))
    standin.fault = undefined
    const recoveredAt = performance.now()
    await waitFor(() => newRows.length === 1)
    lateFollower.close()
    expect(performance.now() - recoveredAt < 1_200).toEqual(true)
  })

  // Guards against overload of the store: every server of a large fleet writes its row about once a second.
  it('limits calls for heartbeat rows, and still notices a removal in time', async () => {
    const callsBefore = standin.callCounts.get('/marigoldvalve/rows-feed') ?? 0
    const timer = setInterval(() => standin.put('servers', 'a', { at: 1 }), 20)
    await new Promise(resolve => setTimeout(resolve, 1_500))
    clearInterval(timer)
    expect((standin.callCounts.get('/marigoldvalve/rows-feed') ?? 0) - callsBefore <= 3).toEqual(true)
    const removedAt = performance.now()
    standin.put('servers', 'a', undefined)
    await waitFor(() => rowsByKey.get('a')?.value === undefined)
    expect(performance.now() - removedAt < REMOVAL_NOTICE_LIMIT_MS).toEqual(true)
  })

  it('reports removals that happened while the history of the store was lost', async () => {
    standin.fault = StoreFault.busy
    standin.closePendingFeeds()
    standin.put('servers', 'a', undefined)
    standin.put('servers', 'c', { at: 3 })
    standin.compact()
    standin.fault = undefined
    await waitFor(() => rowsByKey.get('c')?.value !== undefined && rowsByKey.get('a')?.value === undefined)
    expect(recoveryCount > 0).toEqual(true)
  })

  it('continues after connection resets', async () => {
    standin.fault = StoreFault.reset
    standin.closePendingFeeds()
    await new Promise(resolve => setTimeout(resolve, 250))
    standin.fault = undefined
    standin.put('servers', 'd', { at: 4 })
    await waitFor(() => rowsByKey.has('d'))
  })

  it('calls again when it is restarted because its connection may be dead', async () => {
    const callsBefore = standin.callCounts.get('/marigoldvalve/rows-feed') ?? 0
    follower.restart()
    await waitFor(() => (standin.callCounts.get('/marigoldvalve/rows-feed') ?? 0) > callsBefore)
  })
})

describe('RowStore.write', () => {
  it('distinguishes a conflict, a refusal and a lost response', async () => {
    const standin = await RowsStandin.start()
    const store = new RowStore(standin.address)
    const write = { table: 'members', key: 'h', value: encodeJson({ address: 'x' }) }
    expect((await store.write([write])).isOk()).toEqual(true)
    expect(standin.read('members', 'h')).toEqual({ address: 'x' })
    expect((await store.write([{ ...write, expectedRevision: 99 }]))._unsafeUnwrapErr().code).toEqual('conflict')
    standin.fault = StoreFault.busy
    expect((await store.write([write]))._unsafeUnwrapErr().code).toEqual('refused')
    standin.fault = StoreFault.lost
    expect((await store.write([write]))._unsafeUnwrapErr().code).toEqual('unanswered')
    await store.close()
    standin.close()
  })
})

describe('parsing rows of other programs', () => {
  const route = {
    name: 'r', host: 'a.example', prefix: '/x/', kind: 'streaming', timeout_ms: 1000, service: 's', max_attempts: 2, unknown: 1
  }
  const limits = { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 }

  it('skips invalid routes and keeps the rest', () => {
    const deployment = readDeployment(encodeJson({
      version: 3, routes: [route, { ...route, prefix: 7 }, { ...route, prefix: '/y/', kind: 'odd' }], services: ['?'], limits
    }))
    expect(deployment?.revision).toEqual(3)
    expect(deployment?.findRoute('A.example:80', '/x/1?q')?.name).toEqual('r')
    expect(deployment?.findRoute('a.example', '/y/')).toEqual(undefined)
  })

  it('reads no deployment from an invalid row', () => {
    expect(readDeployment(Buffer.from('{'))).toEqual(undefined)
    expect(readDeployment(encodeJson({ version: 'x', routes: [], services: [], limits }))).toEqual(undefined)
  })

  it('reads no server from a row with missing or mistyped fields or an unknown state', () => {
    const serverRow = { service: 's', address: '1.2.3.4:5', zone: 'z', version: 'v', slots: 3, state: 'ready' }
    expect(readServer('i', encodeJson({ ...serverRow, state: 'draining' }))?.isDraining).toEqual(true)
    expect(readServer('i', encodeJson({ ...serverRow, slots: 'many' }))).toEqual(undefined)
    expect(readServer('i', encodeJson({ ...serverRow, state: 'resting' }))).toEqual(undefined)
    expect(readServer('i', encodeJson({ ...serverRow, address: undefined }))).toEqual(undefined)
    expect(readServer('i', Buffer.from([0xff]))).toEqual(undefined)
  })
})
