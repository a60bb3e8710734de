import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { RowsStandin, StoreFault } from '../standins/rows.js'
import { answer, ScriptedServer } from './rig.js'

/** Where the hosts of the test listen: fixed, since the platform gives each process its ports. */
const FIRST_PORT = 28_400
const HOSTS = 2

interface Host {
  readonly process: ChildProcess
  readonly callers: string
  readonly readiness: string
  output: string
}

async function until (holds: () => Promise<boolean> | boolean): Promise<void> {
  for (let i = 0; i < 600; i++) {
    if (await holds()) return
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  expect(await holds()).toEqual(true)
}

/** Starts the program as the platform does, with the settings file that the platform writes. */
function startHost (folder: string, number: number, storeAddress: string): Host {
  const port = FIRST_PORT + 10 * number
  const settings = join(folder, `host-${number}.toml`)
  writeFileSync(settings, [
    `node = "host-${number}"`, 'ip = "127.0.0.1"', 'zone = "z"', 'region = "r"', 'bootstrap = true', 'unknown_field = 1',
    `internal_port_range = [${port + 3},${port + 5}]`,
    '[listen]', `front = "127.0.0.1:${port}"`, `readiness = "127.0.0.1:${port + 1}"`,
    '[bounds]', 'grace_s = 5', 'retry_budget_ratio = 0.2', 'retry_window_s = 10', 'budget_slack = 50',
    'quota_overshoot = 0.1', 'quota_slack = 1000', 'exposure_share = 0.1', 'exposure_slack = 50', '[platform]', `address = "${storeAddress}"`
  ].join('\n'))
  const env = { ...process.env, MARIGOLDVALVE_CONFIG: settings }
  const child = spawn(process.execPath, ['target/marigoldvalve.cjs'], { env, stdio: ['ignore', 'pipe', 'pipe'] })
  const host = { process: child, callers: `127.0.0.1:${port}`, readiness: `127.0.0.1:${port + 1}`, output: '' }
  child.stdout.on('data', bytes => { host.output += String(bytes) })
  child.stderr.on('data', bytes => { host.output += String(bytes) })
  return host
}

async function isReady (host: Host): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`http://${host.readiness}/marigoldvalve/readyz`)
    await body.dump()
    return statusCode === 200
  } catch {
    return false
  }
}

async function startServer (): Promise<ScriptedServer> {
  return await ScriptedServer.start((text, _, socket) => {
    const id = /attempt-id: (\w+)/i.exec(text)?.[1] ?? ''
    answer(socket, '200 OK', 'done', [`Attempt-Id: ${id}`, 'Response-Signature: s1'])
  })
}

const DEPLOYMENT = {
  version: 1,
  routes: [{ name: 'r', host: 'a.example', prefix: '/x/', kind: 'unsafe', timeout_ms: 2000, target_latency_ms: 300, service: 's', max_attempts: 1 }],
  services: [{ name: 's', max_connections: 50 }],
  tenants: [{ name: 'o', api_keys: ['k1'] }],
  limits: { max_header_bytes: 16384, max_body_bytes: 10000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
}

describe('the deployed program', () => {
  const folder = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
  const hosts: Host[] = []
  let store: RowsStandin
  let server: ScriptedServer
  const fresh: ScriptedServer[] = []

  before(async () => {
    store = await RowsStandin.start()
    server = await startServer()
    for (let number = 0; number < HOSTS; number++) hosts.push(startHost(folder, number, store.address))
  })

  after(() => {
    for (const host of hosts) host.process.kill('SIGKILL')
    store.close()
    server.close()
    for (const started of fresh) started.close()
    rmSync(folder, { recursive: true })
  })

  async function call (host: Host, key = 'k1', path = '/x/1'): Promise<number> {
    const { statusCode, body, headers } = await request(`http://${host.callers}${path}`, {
      method: 'POST',
      headers: { host: 'a.example', 'attempt-id': 'a1', 'deadline-ms': '2000', key },
      body: 'text'
    })
    await body.dump()
    if (statusCode === 200) expect(headers['response-signature']).toEqual('s1')
    return statusCode
  }

  it('is not ready, and answers 503, until it knows a deployment', async () => {
    await until(() => hosts.every(host => host.output.includes('"started"')))
    expect(await isReady(hosts[0]!)).toEqual(false)
    expect(await call(hosts[0]!)).toEqual(503)
  })

  it('serves once it knows one, and finds the other hosts', async () => {
    store.put('servers', 'i-1', {
      service: 's', address: server.address, zone: 'z', version: 'v1', slots: 4, state: 'ready', born: 1
    })
    store.put('op', 'config', DEPLOYMENT)
    await until(async () => (await Promise.all(hosts.map(isReady))).every(Boolean))
    for (const host of hosts) expect(await call(host)).toEqual(200)
    expect(server.requests.every(text => /tenant: o\r\n/i.test(text) && !text.includes('k1'))).toEqual(true)
    expect(await call(hosts[0]!, 'unknown')).toEqual(401)
    expect(await call(hosts[0]!, 'k1', '/y/1')).toEqual(404)
    await until(() => hosts.filter(host => host.output.includes('"it is the first in reach"')).length === 1)
  })

  it('follows changes, and serves on while the store is away', async () => {
    store.put('op', 'config', { ...DEPLOYMENT, version: 2, tenants: [{ name: 'o', api_keys: ['k2'] }] })
    await until(async () => await call(hosts[0]!, 'k2') === 200 && await call(hosts[1]!, 'k2') === 200)
    expect(await call(hosts[1]!, 'k1')).toEqual(401)
    store.fault = StoreFault.reset
    store.cutWaiting()
    for (const host of hosts) expect(await call(host, 'k2')).toEqual(200)
    store.fault = undefined
  })

  it('moves a service to a version, says so, and then uses that version alone', async () => {
    const started = await startServer()
    fresh.push(started)
    store.put('servers', 'i-2', {
      service: 's', address: started.address, zone: 'z', version: 'v2', slots: 4, state: 'ready', born: 1
    })
    const state = (): unknown => (store.read('status', 'rollout/s') as { state: string } | undefined)?.state
    store.put('op', 'rollout/s', { service: 's', to: 'v2', duration_s: 3 })
    await until(() => state() === 'running')
    const before = server.requests.length
    for (let i = 0; i < 120; i++) expect(await call(hosts[i % HOSTS]!, 'k2')).toEqual(200)
    expect(started.requests.length > 0 && started.requests.length < server.requests.length - before).toEqual(true)
    await until(() => state() === 'completed')
    const old = server.requests.length
    for (let i = 0; i < 10; i++) expect(await call(hosts[i % HOSTS]!, 'k2')).toEqual(200)
    expect(server.requests.length).toEqual(old)
  })

  it('tells its state, and ends within its grace time when it is stopped', async () => {
    const [first] = hosts
    first!.process.kill('SIGUSR2')
    await until(() => first!.output.includes('"event":"state"'))
    first!.process.kill('SIGTERM')
    await until(async () => !await isReady(first!))
    await until(() => first!.process.exitCode !== null)
    expect(first!.process.exitCode).toEqual(0)
    expect(await call(hosts[1]!, 'k2')).toEqual(200)
  })

  it('names the offending setting', async () => {
    const settings = join(folder, 'bad.toml')
    writeFileSync(settings, 'node = 7')
    const env = { ...process.env, MARIGOLDVALVE_CONFIG: settings }
    const child = spawn(process.execPath, ['target/marigoldvalve.cjs'], { env })
    let output = ''
    child.stderr.on('data', bytes => { output += String(bytes) })
    await until(() => child.exitCode !== null)
    expect(child.exitCode).toEqual(2)
    expect(output).toInclude('node')
  })
})
