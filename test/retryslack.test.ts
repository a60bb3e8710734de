import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { RowsStandin } from '../standins/rows.js'
import { type HostProcess, isReady, killHostProcess, startHostProcess, waitFor } from './hostprocess.js'
import { respond, ScriptedServer } from './rig.js'

/** First port of the hosts under test; differs from that of the other tests of processes. */
const FIRST_PORT = 28_600
const SERVER_COUNT = 2
const RETRY_RATIO = 0.2
const BUDGET_SLACK = 20

const DEPLOYMENT = {
  version: 1,
  routes: [{
    name: 'r', host: 'a.example', prefix: '/', kind: 'safe', timeout_ms: 2000, target_latency_ms: 600, service: 's', max_attempts: 2, public: true
  }],
  services: [{ name: 's', max_connections: 100 }],
  limits: { max_header_bytes: 16384, max_body_bytes: 10000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
}

describe('the retries of all host processes together', () => {
  let directory: string
  let store: RowsStandin
  let servers: ScriptedServer[]
  let hosts: HostProcess[]
  let requestCount: number

  beforeEach(async () => {
    directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
    store = await RowsStandin.start()
    hosts = []
    servers = []
    requestCount = 0
    store.put('op', 'config', DEPLOYMENT)
    for (let index = 0; index < SERVER_COUNT; index++) {
      // Full servers, so that the first send of every request calls for a retry.
      const server = await ScriptedServer.start((_, __, socket) => {
        respond(socket, '503 Service Unavailable', '', ['Not-Executed: 1'])
      })
      servers.push(server)
      store.put('servers', `i-${index}`, {
        service: 's', address: server.address, zone: 'z', version: 'v1', slots: 50, state: 'ready', born: 1
      })
    }
  })

  afterEach(async () => {
    for (const host of hosts) await killHostProcess(host)
    store.close()
    for (const server of servers) server.close()
    rmSync(directory, { recursive: true })
  })

  async function startHosts (count: number, isFirstStart: boolean): Promise<void> {
    hosts = Array.from({ length: count }, (_, index) => startHostProcess({
      directory,
      index,
      firstPort: FIRST_PORT,
      storeAddress: store.address,
      budgetSlack: BUDGET_SLACK,
      isFirstStart
    }))
    await waitFor(async () => (await Promise.all(hosts.map(isReady))).every(Boolean))
  }

  /** Sends requests to each host, one after the other, and to all hosts at once. */
  async function sendToEachHost (count: number): Promise<void> {
    await Promise.all(hosts.map(async host => {
      for (let i = 0; i < count; i++) {
        const headers = { host: 'a.example', 'attempt-id': `a${requestCount++}`, 'deadline-ms': '2000' }
        const { body } = await request(`http://${host.callerAddress}/`, { headers })
        await body.dump()
      }
    }))
  }

  /** Requests that reached a server, without the first arrival of each attempt. */
  function countRepeatedArrivals (): number {
    const attempts = servers.flatMap(server => server.requests).map(text => /attempt-id: (\w+)/i.exec(text)?.[1])
    return attempts.length - new Set(attempts).size
  }

  // Guards against repeats beyond the retry budget: the store answers no calls for the members' table, and each of
  // several hosts uses the slack of all of them.
  it('stay within the retry budget while the hosts have not read which members there are', async () => {
    store.silentTables.add('members')
    await startHosts(5, true)
    await sendToEachHost(15)
    expect(countRepeatedArrivals() <= RETRY_RATIO * requestCount + BUDGET_SLACK).toEqual(true)
  })

  // Guards against repeats beyond the retry budget: hosts are killed and restarted within its window, and each new
  // process begins with the whole slack again.
  it('stay within the retry budget when the hosts are restarted several times within its window', async () => {
    for (let round = 0; round < 5; round++) {
      await startHosts(2, round === 0)
      await sendToEachHost(10)
      for (const host of hosts) await killHostProcess(host)
    }
    expect(countRepeatedArrivals() <= RETRY_RATIO * requestCount + BUDGET_SLACK).toEqual(true)
  })
})
