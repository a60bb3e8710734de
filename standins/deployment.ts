import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { type DeploymentSpec, type EngineSpec, PEER_PORT, renderConfiguration, renderSettings } from './documents.js'
import { Child } from './process.js'
import { PartitionProxy } from './proxy.js'

/** A running process and the port it listens on. */
export interface DeployedProcess {
  readonly name: string
  readonly child: Child
  readonly port: number
}

const HOST_PROGRAM = 'dist/marigoldvalve.cjs'
const STANDIN_PROGRAM = 'dist/standin.cjs'
const PEER_KEY = 'peer-key-of-this-run'
const READY_TIMEOUT_MS = 30_000
const DATA_CENTRES = ['north', 'south', 'west']

function parseStandinPort (line: string): number | undefined {
  const match = /^\w+ (\d+)$/.exec(line)
  return match === null ? undefined : Number(match[1])
}

function parseHostPort (line: string): number | undefined {
  if (!line.includes('"listening"')) return undefined
  return (JSON.parse(line) as { port: number }).port
}

/** A deployment for tests: hosts, engines, service workers and a platform, each a separate process on loopback. */
export class Deployment {
  readonly hosts: DeployedProcess[] = []
  readonly engines: DeployedProcess[] = []
  readonly workers: DeployedProcess[] = []
  platform: DeployedProcess | undefined
  private readonly proxies: PartitionProxy[] = []
  /** Executions by nonce of the engines and workers that were killed. */
  private readonly runCountsOfKilledServers = new Map<string, number>()
  private readonly directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))

  /** @param spec - composition of the deployment */
  constructor (private readonly spec: DeploymentSpec) {}

  /** Starts all processes, applies the configuration and waits until every host is ready with it. */
  async start (): Promise<void> {
    writeFileSync(join(this.directory, 'peer.key'), PEER_KEY)
    writeFileSync(join(this.directory, 'platform.key'), 'platform-secret')
    this.platform = await this.startStandin('platform', ['platform'])
    for (const engine of this.spec.engines) this.engines.push(await this.startEngine(engine))
    for (let i = 0; i < this.spec.workers; i++) {
      this.workers.push(await this.startStandin(`registry-${i}`, ['service', '--name', `registry-${i}`]))
    }
    await Promise.all(Array.from({ length: this.spec.hosts }, async () => await this.addHost()))
    await this.applyConfiguration(renderConfiguration(this.spec, this.engines, this.workers))
    await this.waitUntilReady(1)
  }

  /** Starts an additional host, in the next data centre in turn. */
  async addHost (): Promise<DeployedProcess> {
    const name = `host-${this.hosts.length}`
    const index = this.hosts.length
    // Reserves the index, since several hosts may be starting at once.
    this.hosts.push(undefined as unknown as DeployedProcess)
    const file = join(this.directory, `${name}.toml`)
    const platformUrl = `http://127.0.0.1:${this.platform!.port}`
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!
    const peerIp = this.spec.supportsPartitions === true ? this.peerIp(index) : '127.0.0.1'
    const announcedPort = this.spec.supportsPartitions === true ? await this.openProxy(index) : undefined
    const extraSettings = this.spec.settings
    writeFileSync(file, renderSettings({
      name,
      dataCentre,
      directory: this.directory,
      platformUrl,
      extraSettings,
      peerIp,
      announcedPort
    }))
    const { child, port } = await Child.start(HOST_PROGRAM, ['serve', '--settings', file], parseHostPort)
    const host = { name, child, port }
    this.hosts[index] = host
    return host
  }

  /**
   * Waits until every running host is ready, knows all others and has a given revision of the configuration or a
   * later one.
   *
   * @param revision - minimum revision
   * @throws Error if a host takes longer than 30 s
   */
  async waitUntilReady (revision: number): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS
    const running = this.hosts.filter(host => host.child.isRunning)
    for (const host of running) {
      while (!(await this.isReady(host, running.length, revision))) {
        if (Date.now() > deadline) throw new Error(`${host.name} did not become ready within 30 s`)
        await new Promise(resolve => setTimeout(resolve, 100))
      }
    }
  }

  /**
   * Applies a configuration through the first running host; retries unless the configuration itself is rejected.
   *
   * @param text - the configuration, in TOML
   * @throws Error if the configuration is invalid, or not accepted after 50 attempts
   */
  async applyConfiguration (text: string): Promise<void> {
    const host = this.hosts.find(each => each.child.isRunning)!
    for (let attempt = 0; attempt < 50; attempt++) {
      const current = await this.callAdmin(host, 'GET', '/configuration')
      const { revision } = JSON.parse(current.body) as { revision: number }
      const applied = await this.callAdmin(host, 'POST', `/configuration?revision=${revision}`, text)
      if (applied.status === 200) return
      if (applied.status === 400) throw new Error(applied.body)
      await new Promise(resolve => setTimeout(resolve, 100))
    }
    throw new Error('the configuration was not accepted after 50 attempts')
  }

  /**
   * Calls the administration API of a host.
   *
   * @param host - the host
   * @param method - the HTTP method
   * @param path - the path below /admin
   * @param body - the request body, if any
   * @returns status and body of the response
   */
  async callAdmin (host: DeployedProcess, method: 'GET' | 'POST', path: string, body: string | null = null):
  Promise<{ status: number, body: string }> {
    const headers = { authorization: `Bearer ${PEER_KEY}` }
    const response = await request(`http://127.0.0.1:${host.port}/admin${path}`, { method, headers, body })
    return { status: response.statusCode, body: await response.body.text() }
  }

  /**
   * Changes the simulated faults of a stand-in.
   *
   * @param standin - the stand-in
   * @param faults - the faults to change; others keep their value
   * @returns all its faults, and the call counts of the platform
   */
  async setFaults (standin: DeployedProcess, faults: object): Promise<Record<string, number>> {
    const body = JSON.stringify(faults)
    const response = await request(`http://127.0.0.1:${standin.port}/control`, { method: 'POST', body })
    return await response.body.json() as Record<string, number>
  }

  /**
   * Collects the execution counts of backend servers, those that were killed included.
   *
   * @param servers - engines or workers; only running ones are queried
   * @returns number of executions by nonce, summed over all servers
   */
  async collectRunCounts (servers: readonly DeployedProcess[]): Promise<Map<string, number>> {
    const totals = new Map(this.runCountsOfKilledServers)
    for (const server of servers.filter(each => each.child.isRunning)) {
      const response = await request(`http://127.0.0.1:${server.port}/ran`)
      const { runs } = await response.body.json() as { runs: Record<string, number> }
      for (const [nonce, count] of Object.entries(runs)) totals.set(nonce, (totals.get(nonce) ?? 0) + count)
    }
    return totals
  }

  /**
   * Blocks the connections that one host opened to another; those in the other direction are unaffected.
   *
   * @param from - index of the host that connects
   * @param to - index of the host that is connected to
   */
  blockConnections (from: number, to: number): void {
    this.proxies[to]!.block(this.peerIp(from))
  }

  /**
   * Removes the block that {@link Deployment.blockConnections} set.
   *
   * @param from - index of the host that connects
   * @param to - index of the host that is connected to
   */
  unblockConnections (from: number, to: number): void {
    this.proxies[to]!.unblock(this.peerIp(from))
  }

  /**
   * Kills an engine or worker, after saving its execution counts for {@link Deployment.collectRunCounts}.
   *
   * @param server - the engine or worker
   */
  async killServer (server: DeployedProcess): Promise<void> {
    for (const [nonce, count] of await this.collectRunCounts([server])) this.runCountsOfKilledServers.set(nonce, count)
    await server.child.kill()
  }

  /** Kills all processes that this deployment started and deletes its directory. */
  async stop (): Promise<void> {
    const processes = [...this.hosts, ...this.engines, ...this.workers, this.platform]
    await Promise.all(processes.map(async process => { await process?.child.kill() }))
    for (const proxy of this.proxies) proxy.close()
    rmSync(this.directory, { recursive: true, force: true })
  }

  private peerIp (index: number): string {
    return `127.0.1.${index + 1}`
  }

  private async openProxy (index: number): Promise<number> {
    const proxy = new PartitionProxy()
    this.proxies[index] = proxy
    proxy.setTarget(this.peerIp(index), PEER_PORT)
    return await proxy.listen()
  }

  private async startStandin (name: string, args: readonly string[]): Promise<DeployedProcess> {
    return { name, ...await Child.start(STANDIN_PROGRAM, args, parseStandinPort) }
  }

  private async startEngine (spec: EngineSpec): Promise<DeployedProcess> {
    const { maxBatchSize, stepMs, stepPerSequenceMs, prefillTokensPerMs } = spec
    return await this.startStandin(spec.name, [
      'engine', '--batch', String(maxBatchSize), '--step', String(stepMs),
      '--step-per-sequence', String(stepPerSequenceMs), '--prefill', String(prefillTokensPerMs)
    ])
  }

  private async isReady (host: DeployedProcess, memberCount: number, revision: number): Promise<boolean> {
    const response = await this.callAdmin(host, 'GET', '/dump')
    const state = JSON.parse(response.body) as {
      ready: boolean, members: unknown[], revisions: { configuration: number }
    }
    return state.ready && state.members.length >= memberCount && state.revisions.configuration >= revision
  }
}
