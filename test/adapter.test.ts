import { afterEach, beforeEach, describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import { RowStore } from '../platform/rowstore.js'
import { readDeployment } from '../platform/deployment.js'
import { readServer } from '../platform/server.js'
import { SteadyClock } from '../src/base/index.js'
import { Follower, Replica, type Row } from '../src/store/index.js'
import { RowsStandin, StoreFault } from '../standins/rows.js'

/**
 * How soon a server that leaves must be known: three quarters of the two seconds in which the users' rule on draining
 * wants its last request; the rest is for requests that are on their way.
 */
const LEAVING_KNOWN_MS = 1_500

const log = createLogger({ name: 'test', level: 60 })

async function until (holds: () => boolean): Promise<void> {
  for (let i = 0; i < 500 && !holds(); i++) await new Promise(resolve => setTimeout(resolve, 10))
  expect(holds()).toEqual(true)
}

function json (value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value))
}

describe('following a table', () => {
  let standin: RowsStandin
  let store: RowStore
  let follower: Follower
  let returns = 0
  const seen = new Map<string, Row>()

  beforeEach(async () => {
    seen.clear()
    returns = 0
    standin = await RowsStandin.start()
    store = new RowStore(standin.address)
    standin.put('servers', 'a', { at: 1 })
    const replica = new Replica('servers', row => {
      const before = seen.get(row.key)
      seen.set(row.key, row)
      return before?.value?.toString() !== row.value?.toString()
    })
    const watcher = { returned: () => { returns++ }, clockRead: () => undefined }
    follower = new Follower(store, replica, watcher, new SteadyClock(), log)
    // The outages below are to meet a call that waits, not one that is still on its way.
    await until(() => seen.has('a') && standin.waitingCalls === 1)
  })

  afterEach(async () => {
    follower.close()
    await store.close()
    standin.close()
  })

  it('tells rows that are written and removed', async () => {
    standin.put('servers', 'b', { at: 2 })
    await until(() => seen.get('b')?.value !== undefined)
    standin.put('servers', 'b', undefined)
    await until(() => seen.get('b')?.value === undefined)
  })

  // Load: every server of a large fleet writes its row each second or so.
  // Load: all hosts lost power while the store is away; who starts anew can serve nobody until it has read the tables.
  it('reads soon after the store is back, though the first calls found it silent', async () => {
    standin.fault = StoreFault.silent
    const rows: Row[] = []
    const late = new Follower(store, new Replica('servers', row => rows.push(row) > 0), {
      returned: () => undefined, clockRead: () => undefined
    }, new SteadyClock(), log)
    await new Promise(resolve => setTimeout(resolve, 300))
    standin.fault = undefined
    const backAt = performance.now()
    await until(() => rows.length === 1)
    late.close()
    expect(performance.now() - backAt < 1_200).toEqual(true)
  })

  it('calls seldom for rows that only say that a server lives on', async () => {
    const before = standin.calls.get('/marigoldvalve/rows-feed') ?? 0
    const timer = setInterval(() => standin.put('servers', 'a', { at: 1 }), 20)
    await new Promise(resolve => setTimeout(resolve, 1_500))
    clearInterval(timer)
    expect((standin.calls.get('/marigoldvalve/rows-feed') ?? 0) - before <= 3).toEqual(true)
    const leftAt = performance.now()
    standin.put('servers', 'a', undefined)
    await until(() => seen.get('a')?.value === undefined)
    expect(performance.now() - leftAt < LEAVING_KNOWN_MS).toEqual(true)
  })

  it('tells what was removed while the history was lost', async () => {
    standin.fault = StoreFault.busy
    standin.cutWaiting()
    standin.put('servers', 'a', undefined)
    standin.put('servers', 'c', { at: 3 })
    standin.compact()
    standin.fault = undefined
    await until(() => seen.get('c')?.value !== undefined && seen.get('a')?.value === undefined)
    expect(returns > 0).toEqual(true)
  })

  it('goes on after resets', async () => {
    standin.fault = StoreFault.reset
    standin.cutWaiting()
    await new Promise(resolve => setTimeout(resolve, 250))
    standin.fault = undefined
    standin.put('servers', 'd', { at: 4 })
    await until(() => seen.has('d'))
  })

  it('asks anew when it is told that its connection may be silent', async () => {
    const before = standin.calls.get('/marigoldvalve/rows-feed') ?? 0
    follower.restart()
    await until(() => (standin.calls.get('/marigoldvalve/rows-feed') ?? 0) > before)
  })
})

describe('writing rows', () => {
  it('tells a conflict, a refusal and a lost answer apart', async () => {
    const standin = await RowsStandin.start()
    const store = new RowStore(standin.address)
    const write = { table: 'members', key: 'h', value: json({ address: 'x' }) }
    expect((await store.write([write])).isOk()).toEqual(true)
    expect(standin.read('members', 'h')).toEqual({ address: 'x' })
    expect((await store.write([{ ...write, expected: 99 }]))._unsafeUnwrapErr().code).toEqual('conflict')
    standin.fault = StoreFault.busy
    expect((await store.write([write]))._unsafeUnwrapErr().code).toEqual('refused')
    standin.fault = StoreFault.lost
    expect((await store.write([write]))._unsafeUnwrapErr().code).toEqual('unanswered')
    await store.close()
    standin.close()
  })
})

describe('reading rows of others', () => {
  const route = {
    name: 'r', host: 'a.example', prefix: '/x/', kind: 'streaming', timeout_ms: 1000, service: 's', max_attempts: 2, unknown: 1
  }
  const limits = { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 }

  it('leaves out routes that can not be read, and nothing else', () => {
    const read = readDeployment(json({
      version: 3, routes: [route, { ...route, prefix: 7 }, { ...route, prefix: '/y/', kind: 'odd' }], services: ['?'], limits
    }))
    expect(read?.revision).toEqual(3)
    expect(read?.findRoute('A.example:80', '/x/1?q')?.name).toEqual('r')
    expect(read?.findRoute('a.example', '/y/')).toEqual(undefined)
  })

  it('takes a row that can not be read for no deployment', () => {
    expect(readDeployment(Buffer.from('{'))).toEqual(undefined)
    expect(readDeployment(json({ version: 'x', routes: [], services: [], limits }))).toEqual(undefined)
  })

  it('names no server for missing or mistyped fields or unknown states', () => {
    const entry = { service: 's', address: '1.2.3.4:5', zone: 'z', version: 'v', slots: 3, state: 'ready' }
    expect(readServer('i', json({ ...entry, state: 'draining' }))?.isDraining).toEqual(true)
    expect(readServer('i', json({ ...entry, slots: 'many' }))).toEqual(undefined)
    expect(readServer('i', json({ ...entry, state: 'resting' }))).toEqual(undefined)
    expect(readServer('i', json({ ...entry, address: undefined }))).toEqual(undefined)
    expect(readServer('i', Buffer.from([0xff]))).toEqual(undefined)
  })
})
