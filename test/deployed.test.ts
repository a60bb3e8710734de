import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { RowsStandin, StoreFault } from '../standins/rows.js'
import { type HostProcess, isReady, startHostProcess, waitFor } from './hostprocess.js'
import { respond, ScriptedServer } from './rig.js'

/** First port of the hosts under test. Fixed, since the settings name every port, as on the platform. */
const FIRST_PORT = 28_400
const HOST_COUNT = 2

function startHost (directory: string, index: number, storeAddress: string): HostProcess {
  return startHostProcess({
    directory, index, firstPort: FIRST_PORT, storeAddress, budgetSlack: 50, isFirstStart: true
  })
}

async function startServer (): Promise<ScriptedServer> {
  return await ScriptedServer.start((text, _, socket) => {
    const id = /attempt-id: (\w+)/i.exec(text)?.[1] ?? ''
    respond(socket, '200 OK', 'done', [`Attempt-Id: ${id}`, 'Response-Signature: s1'])
  })
}

const DEPLOYMENT = {
  version: 1,
  routes: [{ name: 'r', host: 'a.example', prefix: '/x/', kind: 'unsafe', timeout_ms: 2000, target_latency_ms: 300, service: 's', max_attempts: 1 }],
  services: [{ name: 's', max_connections: 50 }],
  tenants: [{ name: 'o', api_keys: ['k1'] }],
  limits: { max_header_bytes: 16384, max_body_bytes: 10000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
}

describe('the bundled program', () => {
  const directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
  const hosts: HostProcess[] = []
  let store: RowsStandin
  let server: ScriptedServer
  const newServers: ScriptedServer[] = []

  before(async () => {
    store = await RowsStandin.start()
    server = await startServer()
    for (let index = 0; index < HOST_COUNT; index++) hosts.push(startHost(directory, index, store.address))
  })

  after(() => {
    for (const host of hosts) host.process.kill('SIGKILL')
    store.close()
    server.close()
    for (const newServer of newServers) newServer.close()
    rmSync(directory, { recursive: true })
  })

  async function call (host: HostProcess, key = 'k1', path = '/x/1'): Promise<number> {
    const { statusCode, body, headers } = await request(`http://${host.callerAddress}${path}`, {
      method: 'POST',
      headers: { host: 'a.example', 'attempt-id': 'a1', 'deadline-ms': '2000', key },
      body: 'text'
    })
    await body.dump()
    if (statusCode === 200) expect(headers['response-signature']).toEqual('s1')
    return statusCode
  }

  it('is not ready, and responds with 503, until it has read a deployment', async () => {
    await waitFor(() => hosts.every(host => host.output.includes('"started"')))
    expect(await isReady(hosts[0]!)).toEqual(false)
    expect(await call(hosts[0]!)).toEqual(503)
  })

  it('serves requests once it has read a deployment, and agrees on a scheduler with the other hosts', async () => {
    store.put('servers', 'i-1', {
      service: 's', address: server.address, zone: 'z', version: 'v1', slots: 4, state: 'ready', born: 1
    })
    store.put('op', 'config', DEPLOYMENT)
    await waitFor(async () => (await Promise.all(hosts.map(isReady))).every(Boolean))
    for (const host of hosts) expect(await call(host)).toEqual(200)
    expect(server.requests.every(text => /tenant: o\r\n/i.test(text) && !text.includes('k1'))).toEqual(true)
    expect(await call(hosts[0]!, 'unknown')).toEqual(401)
    expect(await call(hosts[0]!, 'k1', '/y/1')).toEqual(404)
    await waitFor(() => hosts.filter(host => host.output.includes('"it is the first in reach"')).length === 1)
  })

  it('applies changes of the deployment, and keeps serving while the store is unreachable', async () => {
    store.put('op', 'config', { ...DEPLOYMENT, version: 2, tenants: [{ name: 'o', api_keys: ['k2'] }] })
    await waitFor(async () => await call(hosts[0]!, 'k2') === 200 && await call(hosts[1]!, 'k2') === 200)
    expect(await call(hosts[1]!, 'k1')).toEqual(401)
    store.fault = StoreFault.reset
    store.closePendingFeeds()
    for (const host of hosts) expect(await call(host, 'k2')).toEqual(200)
    store.fault = undefined
  })

  it('migrates a service to a version, reports the stages, and then uses only that version', async () => {
    const newServer = await startServer()
    newServers.push(newServer)
    store.put('servers', 'i-2', {
      service: 's', address: newServer.address, zone: 'z', version: 'v2', slots: 4, state: 'ready', born: 1
    })
    const migrationState = (): unknown => (store.read('status', 'rollout/s') as { state: string } | undefined)?.state
    store.put('op', 'rollout/s', { service: 's', to: 'v2', duration_s: 3 })
    await waitFor(() => migrationState() === 'running')
    const requestsBefore = server.requests.length
    for (let i = 0; i < 120; i++) expect(await call(hosts[i % HOST_COUNT]!, 'k2')).toEqual(200)
    expect(
      newServer.requests.length > 0 && newServer.requests.length < server.requests.length - requestsBefore
    ).toEqual(true)
    await waitFor(() => migrationState() === 'completed')
    const requestsAtCompletion = server.requests.length
    for (let i = 0; i < 10; i++) expect(await call(hosts[i % HOST_COUNT]!, 'k2')).toEqual(200)
    expect(server.requests.length).toEqual(requestsAtCompletion)
  })

  it('logs its state on SIGUSR2, and exits within the grace period on SIGTERM', async () => {
    const [first] = hosts
    first!.process.kill('SIGUSR2')
    await waitFor(() => first!.output.includes('"event":"state"'))
    first!.process.kill('SIGTERM')
    await waitFor(async () => !await isReady(first!))
    await waitFor(() => first!.process.exitCode !== null)
    expect(first!.process.exitCode).toEqual(0)
    expect(await call(hosts[1]!, 'k2')).toEqual(200)
  })

  it('names the invalid setting in its error message', async () => {
    const settings = join(directory, 'bad.toml')
    writeFileSync(settings, 'node = 7')
    const env = { ...process.env, MARIGOLDVALVE_CONFIG: settings }
    const child = spawn(process.execPath, ['target/marigoldvalve.cjs'], { env })
    let output = ''
    child.stderr.on('data', bytes => { output += String(bytes) })
    await waitFor(() => child.exitCode !== null)
    expect(child.exitCode).toEqual(2)
    expect(output).toInclude('node')
  })
})
