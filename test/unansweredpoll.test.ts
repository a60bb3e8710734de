import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import { request } from 'undici'
import { RowStore } from '../platform/rowstore.js'
import { MonotonicClock } from '../src/base/index.js'
import { Follower, Replica, type Row } from '../src/store/index.js'
import { RowsStandin, StoreFault } from '../standins/rows.js'
import { type HostProcess, isReady, killHostProcess, startHostProcess, waitFor } from './hostprocess.js'
import { storeObserver } from './storeobserver.js'

/** The users' `contact_ms`: this long after an outage, hosts are bound by all rules, in milliseconds. */
const CONTACT_MS = 3_000

/** The users' `config_apply_ms`: this long after its acknowledgement, a deployment is in force, in milliseconds. */
const CONFIG_APPLY_MS = 2_000

/** How long an outage lasts, in milliseconds; a poll that is sent after a change falls into it. */
const OUTAGE_MS = 700

/** First port of the hosts under test. Fixed, since the settings name every port, as on the platform. */
const FIRST_PORT = 28_700
const HOST_COUNT = 3

const log = createLogger({ name: 'test', level: 60 })

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

describe('a poll that the store never answers', () => {
  let standin: RowsStandin
  let store: RowStore
  let follower: Follower
  const rowsByKey = new Map<string, Row>()

  beforeEach(async () => {
    rowsByKey.clear()
    standin = await RowsStandin.start()
    store = new RowStore(standin.address)
    standin.put('op', 'config', { version: 1 })
    const replica = new Replica('op', row => rowsByKey.set(row.key, row).has(row.key))
    follower = new Follower(store, replica, storeObserver(), new MonotonicClock(), log)
    await waitFor(() => rowsByKey.has('config') && standin.pendingFeedCount === 1)
  })

  afterEach(async () => {
    follower.close()
    await store.close()
    standin.close()
  })

  function readVersion (): unknown {
    return (JSON.parse(rowsByKey.get('config')?.value?.toString() ?? '{}') as { version?: number }).version
  }

  // Guards against old deployments in force: a poll was sent into a silent outage and awaited for 27.5 s.
  it('does not hide changes that are made after a silent outage', async () => {
    standin.put('op', 'config', { version: 2 })
    standin.fault = StoreFault.silent
    await waitFor(() => readVersion() === 2)
    await sleep(OUTAGE_MS)
    standin.fault = undefined
    const recoveredAt = performance.now()
    standin.put('op', 'config', { version: 3 })
    await waitFor(() => readVersion() === 3)
    expect(performance.now() - recoveredAt < CONTACT_MS).toEqual(true)
  })

  // Guards against old deployments in force: the connection of a pending poll fell silent without being reset.
  it('does not hide changes if its connection has fallen silent', async () => {
    standin.dropPendingFeeds()
    const stalledAt = performance.now()
    standin.put('op', 'config', { version: 2 })
    await waitFor(() => readVersion() === 2)
    expect(performance.now() - stalledAt < CONTACT_MS).toEqual(true)
  })
})

describe('polls of several hosts that the store never answers', () => {
  const directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
  let store: RowsStandin
  let hosts: HostProcess[] = []

  beforeEach(async () => {
    store = await RowsStandin.start()
    putDeployment(1, 'k1')
    store.put('servers', 'i-1', {
      service: 's', address: '127.0.0.1:1', zone: 'z', version: 'v1', slots: 4, state: 'ready', born: 1
    })
    hosts = Array.from({ length: HOST_COUNT }, (_, index) => startHostProcess({
      directory, index, firstPort: FIRST_PORT, storeAddress: store.address, budgetSlack: 50, isFirstStart: true
    }))
    await waitFor(async () => (await Promise.all(hosts.map(isReady))).every(Boolean))
    await waitFor(() => hosts.filter(host => host.output.includes('"it is the first in reach"')).length === HOST_COUNT - 1)
  })

  afterEach(async () => {
    await Promise.all(hosts.map(killHostProcess))
    store.close()
    rmSync(directory, { recursive: true })
  })

  function putDeployment (version: number, apiKey: string): void {
    store.put('op', 'config', {
      version,
      routes: [{ name: 'r', host: 'a.example', prefix: '/x/', kind: 'safe', timeout_ms: 2000, target_latency_ms: 300, service: 's', max_attempts: 1 }],
      services: [{ name: 's', max_connections: 50 }],
      tenants: [{ name: 'o', api_keys: [apiKey] }],
      limits: { max_header_bytes: 16384, max_body_bytes: 10000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
    })
  }

  /** @returns whether all hosts know the API key; no server can answer, so that other failures are expected */
  async function isKeyKnown (apiKey: string): Promise<boolean> {
    const statuses = await Promise.all(hosts.map(async host => {
      const { statusCode, body } = await request(`http://${host.callerAddress}/x/1`, {
        headers: { host: 'a.example', 'attempt-id': 'a1', 'deadline-ms': '300', key: apiKey }
      })
      await body.dump()
      return statusCode
    }))
    return statuses.every(status => status !== 401)
  }

  // Guards against old deployments in force on all hosts: their polls fell into the same silent outage, so that no host
  // could tell another one of newer rows.
  it('do not hide deployments that are acknowledged after a silent outage', async () => {
    await waitFor(() => isKeyKnown('k1'))
    putDeployment(2, 'k2')
    store.fault = StoreFault.silent
    await waitFor(() => isKeyKnown('k2'))
    await sleep(OUTAGE_MS)
    store.fault = undefined
    await sleep(CONTACT_MS)
    putDeployment(3, 'k3')
    const acknowledgedAt = performance.now()
    await waitFor(() => isKeyKnown('k3'))
    expect(performance.now() - acknowledgedAt < CONFIG_APPLY_MS).toEqual(true)
  })
})
