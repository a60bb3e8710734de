import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { RowsStandin } from '../standins/rows.js'
import { Cut, type HostProcess, isReady, killHostProcess, severHost, startHostProcess, waitFor } from './hostprocess.js'
import { respond, type Script, ScriptedServer } from './rig.js'

/** Time after the start of a cut from which the users compare hosts (their `contact_ms`), in milliseconds. */
const CONTACT_MS = 3_000

/** Share of what the other hosts serve that a host without paths to the servers is to serve at least. */
const SERVED_SHARE = 2 / 3

const REQUEST_INTERVAL_MS = 20
const REQUESTS = 60

const HOSTS = 3
const SERVERS = 3

/** First port of the hosts under test. Fixed, since the settings name every port, as on the platform. */
const FIRST_PORT = 28_900

/** A server closes a connection after so many responses. */
const RESPONSES_PER_CLOSE = 5

const answer: Script = (text, index, socket) => {
  const id = /attempt-id: (\w+)/i.exec(text)?.[1] ?? ''
  const connection = index % RESPONSES_PER_CLOSE === 0 ? 'Connection: close' : 'Keep-Alive: timeout=30'
  setTimeout(() => respond(socket, '200 OK', 'ok', [`Attempt-Id: ${id}`, 'Response-Signature: s', connection]), 20)
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Sends first attempts of a route's requests to a host at a steady rate; returns how many were served. */
async function countServed (host: HostProcess, prefix: string): Promise<number> {
  const statuses: Array<Promise<number>> = []
  for (let i = 0; i < REQUESTS; i++) {
    statuses.push(call(host, prefix, `${Math.floor(1e9 * Math.random()).toString(16)}${i}`))
    await sleep(REQUEST_INTERVAL_MS)
  }
  return (await Promise.all(statuses)).filter(status => status === 200).length
}

async function call (host: HostProcess, prefix: string, attemptId: string): Promise<number> {
  try {
    const { statusCode, body } = await request(`http://${host.callerAddress}${prefix}1`, {
      headers: { host: 'a.example', 'attempt-id': attemptId, 'deadline-ms': '1500' }
    })
    await body.dump()
    return statusCode
  } catch {
    return 0
  }
}

describe('a host that is cut off from all servers', () => {
  const directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
  let store: RowsStandin
  let hosts: HostProcess[] = []
  let servers: ScriptedServer[] = []

  beforeEach(async () => {
    store = await RowsStandin.start()
    servers = []
    for (let i = 0; i < SERVERS; i++) {
      const server = await ScriptedServer.start(answer)
      servers.push(server)
      store.put('servers', `i-${i}`, {
        service: 's', address: server.address, zone: 'z', version: 'v1', slots: 8, state: 'ready', born: 1
      })
    }
    const route = {
      name: 'safe', host: 'a.example', prefix: '/safe/', kind: 'safe', timeout_ms: 1500, target_latency_ms: 300, service: 's', max_attempts: 2, public: true
    }
    store.put('op', 'config', {
      version: 1,
      routes: [route, { ...route, name: 'unsafe', prefix: '/unsafe/', kind: 'unsafe' }],
      services: [{ name: 's', max_connections: 100 }],
      tenants: [],
      limits: { max_header_bytes: 16384, max_body_bytes: 10000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
    })
    hosts = []
    for (let index = 0; index < HOSTS; index++) {
      hosts.push(startHostProcess({
        directory,
        index,
        firstPort: FIRST_PORT,
        storeAddress: store.address,
        budgetSlack: 50,
        isFirstStart: true,
        isSeverable: true
      }))
    }
    for (const host of hosts) await waitFor(() => isReady(host))
  })

  afterEach(async () => {
    for (const host of hosts) await killHostProcess(host)
    for (const server of servers) server.close()
    store.close()
  })

  after(() => rmSync(directory, { recursive: true }))

  for (const cut of [Cut.silent, Cut.reset, Cut.refuse]) {
    // Guards against RECOVER: callers of hosts without paths to the servers were refused, and the failures of these
    // hosts kept the servers from those of other hosts too.
    it(`serves its callers nearly as often as the others do (${cut} connections)`, async () => {
      const [cutHost, ...others] = hosts as [HostProcess, ...HostProcess[]]
      await Promise.all(hosts.map(host => countServed(host, '/safe/')))
      await severHost(cutHost, servers.map(({ address }) => address), cut)
      await Promise.all([sleep(CONTACT_MS), ...hosts.map(host => countServed(host, '/safe/'))])
      for (const prefix of ['/safe/', '/unsafe/']) {
        const counts = [cutHost, ...others].map(host => countServed(host, prefix))
        const [served, ...servedByOthers] = await Promise.all(counts)
        expect(servedByOthers).toEqual(others.map(() => REQUESTS))
        expect(served! >= SERVED_SHARE * REQUESTS).toEqual(true)
      }
      await severHost(cutHost, [], undefined)
      await sleep(1_000)
      expect(await countServed(cutHost, '/unsafe/')).toEqual(REQUESTS)
    })
  }
})
