import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { Cut } from './proxy.js'
import { configurationOf, type EngineSpec, PEER_PORT, settingsOf, type Spec } from './documents.js'
import { Child } from './process.js'

/** A process with the port that it listens at. */
export interface Node {
  readonly name: string
  readonly child: Child
  readonly port: number
}

const PROGRAM = 'dist/marigoldvalve.cjs'
const STANDIN = 'dist/standin.cjs'
const PEER_KEY = 'peer-key-of-this-run'
const READY_TIMEOUT_MS = 30_000
const DATA_CENTRES = ['north', 'south', 'west']

function standinPort (line: string): number | undefined {
  const match = /^\w+ (\d+)$/.exec(line)
  return match === null ? undefined : Number(match[1])
}

function hostPort (line: string): number | undefined {
  if (!line.includes('"listening"')) return undefined
  return (JSON.parse(line) as { port: number }).port
}

/** Hosts, engines, service workers and a platform, each a process of its own on loopback. */
export class Deployment {
  readonly hosts: Node[] = []
  readonly engines: Node[] = []
  readonly workers: Node[] = []
  platform: Node | undefined
  private readonly cuts: Cut[] = []
  /** What ended engines and workers had run. */
  private readonly retired = new Map<string, number>()
  private readonly folder = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))

  /** @param spec - what it consists of */
  constructor (private readonly spec: Spec) {}

  /** Starts all processes, applies the configuration and waits until every host is ready with it. */
  async start (): Promise<void> {
    writeFileSync(join(this.folder, 'peer.key'), PEER_KEY)
    writeFileSync(join(this.folder, 'platform.key'), 'platform-secret')
    this.platform = await this.standin('platform', ['platform'])
    for (const engine of this.spec.engines) this.engines.push(await this.startEngine(engine))
    for (let i = 0; i < this.spec.workers; i++) {
      this.workers.push(await this.standin(`registry-${i}`, ['service', '--name', `registry-${i}`]))
    }
    await Promise.all(Array.from({ length: this.spec.hosts }, async () => await this.addHost()))
    await this.apply(configurationOf(this.spec, this.engines, this.workers))
    await this.settle(1)
  }

  /** Starts one more host. */
  async addHost (): Promise<Node> {
    const name = `host-${this.hosts.length}`
    const slot = this.hosts.length
    this.hosts.push(undefined as unknown as Node)
    const file = join(this.folder, `${name}.toml`)
    const platform = `http://127.0.0.1:${this.platform!.port}`
    const dataCentre = DATA_CENTRES[slot % DATA_CENTRES.length]!
    const peerIp = this.spec.cuttable === true ? this.peerIp(slot) : '127.0.0.1'
    const announced = this.spec.cuttable === true ? await this.openCut(slot) : undefined
    const further = this.spec.settings
    writeFileSync(file, settingsOf({ name, dataCentre, folder: this.folder, platform, further, peerIp, announced }))
    const { child, port } = await Child.start(PROGRAM, ['serve', '--settings', file], hostPort)
    const node = { name, child, port }
    this.hosts[slot] = node
    return node
  }

  /**
   * Waits until every running host is ready, knows all others and has a revision of the configuration.
   *
   * @param revision - the least revision
   */
  async settle (revision: number): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS
    const running = this.hosts.filter(host => host.child.isRunning)
    for (const host of running) {
      while (!(await this.isSettled(host, running.length, revision))) {
        if (Date.now() > deadline) throw new Error(`${host.name} did not become ready`)
        await new Promise(resolve => setTimeout(resolve, 100))
      }
    }
  }

  /**
   * Applies a configuration by way of the first running host.
   *
   * @param text - the document
   */
  async apply (text: string): Promise<void> {
    const host = this.hosts.find(each => each.child.isRunning)!
    for (let tries = 0; tries < 50; tries++) {
      const shown = await this.admin(host, 'GET', '/configuration')
      const { revision } = JSON.parse(shown.body) as { revision: number }
      const applied = await this.admin(host, 'POST', `/configuration?revision=${revision}`, text)
      if (applied.status === 200) return
      if (applied.status === 400) throw new Error(applied.body)
      await new Promise(resolve => setTimeout(resolve, 100))
    }
    throw new Error('the configuration was not accepted')
  }

  /**
   * Calls the administration API of a host.
   *
   * @param host - the host
   * @param method - the HTTP method
   * @param path - the path below /admin
   * @param body - the body, if any
   */
  async admin (host: Node, method: 'GET' | 'POST', path: string, body: string | null = null):
  Promise<{ status: number, body: string }> {
    const headers = { authorization: `Bearer ${PEER_KEY}` }
    const response = await request(`http://127.0.0.1:${host.port}/admin${path}`, { method, headers, body })
    return { status: response.statusCode, body: await response.body.text() }
  }

  /**
   * Sets faults of a stand-in.
   *
   * @param node - the stand-in
   * @param faults - the faults
   * @returns the stand-in's answer
   */
  async control (node: Node, faults: object): Promise<Record<string, number>> {
    const body = JSON.stringify(faults)
    const response = await request(`http://127.0.0.1:${node.port}/control`, { method: 'POST', body })
    return await response.body.json() as Record<string, number>
  }

  /**
   * @param nodes - engines or workers
   * @returns how often each request was run, over all of them
   */
  async runs (nodes: readonly Node[]): Promise<Map<string, number>> {
    const sums = new Map(this.retired)
    for (const node of nodes.filter(each => each.child.isRunning)) {
      const response = await request(`http://127.0.0.1:${node.port}/ran`)
      const { runs } = await response.body.json() as { runs: Record<string, number> }
      for (const [nonce, count] of Object.entries(runs)) sums.set(nonce, (sums.get(nonce) ?? 0) + count)
    }
    return sums
  }

  /**
   * Cuts calls from one host to another; those the other way go on.
   *
   * @param from - index of the calling host
   * @param to - index of the called host
   */
  cut (from: number, to: number): void {
    this.cuts[to]!.block(this.peerIp(from))
  }

  /**
   * Ends a cut.
   *
   * @param from - index of the calling host
   * @param to - index of the called host
   */
  heal (from: number, to: number): void {
    this.cuts[to]!.unblock(this.peerIp(from))
  }

  /**
   * Kills an engine or worker, after noting what it has run.
   *
   * @param node - the engine or worker
   */
  async retire (node: Node): Promise<void> {
    for (const [nonce, count] of await this.runs([node])) this.retired.set(nonce, count)
    await node.child.kill()
  }

  /** Ends all processes that this deployment started. */
  async stop (): Promise<void> {
    const nodes = [...this.hosts, ...this.engines, ...this.workers, this.platform]
    await Promise.all(nodes.map(async node => { await node?.child.kill() }))
    for (const cut of this.cuts) cut.close()
    rmSync(this.folder, { recursive: true, force: true })
  }

  private peerIp (slot: number): string {
    return `127.0.1.${slot + 1}`
  }

  private async openCut (slot: number): Promise<number> {
    const cut = new Cut()
    this.cuts[slot] = cut
    cut.aim(this.peerIp(slot), PEER_PORT)
    return await cut.listen()
  }

  private async standin (name: string, args: readonly string[]): Promise<Node> {
    return { name, ...await Child.start(STANDIN, args, standinPort) }
  }

  private async startEngine (spec: EngineSpec): Promise<Node> {
    const { batch, step, stepPerSequence, prefill } = spec
    return await this.standin(spec.name, [
      'engine', '--batch', String(batch), '--step', String(step),
      '--step-per-sequence', String(stepPerSequence), '--prefill', String(prefill)
    ])
  }

  private async isSettled (host: Node, members: number, revision: number): Promise<boolean> {
    const shown = await this.admin(host, 'GET', '/dump')
    const state = JSON.parse(shown.body) as {
      ready: boolean, members: unknown[], revisions: { configuration: number }
    }
    return state.ready && state.members.length >= members && state.revisions.configuration >= revision
  }
}
