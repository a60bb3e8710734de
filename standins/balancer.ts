import { request } from 'undici'
import type { Deployment, Node } from './deployment.js'

const PERIOD_MS = 300
const TIMEOUT_MS = 500

/** Stands for the platform's balancer: sends to hosts whose readiness path answers well. */
export class Balancer {
  private ready: Node[] = []
  private turn = 0
  private stopped = false

  /** @param deployment - the hosts */
  constructor (private readonly deployment: Deployment) {}

  /** Begins to look at the hosts. */
  async start (): Promise<void> {
    await this.look()
    void this.watch()
  }

  /** Stops looking. */
  stop (): void {
    this.stopped = true
  }

  /** @returns the port of the next host that is ready */
  next (): number {
    const node = this.ready[this.turn++ % this.ready.length] ?? this.deployment.hosts[0]!
    return node.port
  }

  private async watch (): Promise<void> {
    while (!this.stopped) {
      await new Promise(resolve => setTimeout(resolve, PERIOD_MS))
      await this.look()
    }
  }

  private async look (): Promise<void> {
    const nodes = this.deployment.hosts.filter(host => host?.child.isRunning)
    const states = await Promise.all(nodes.map(async node => await this.isReady(node)))
    this.ready = nodes.filter((_, i) => states[i])
  }

  private async isReady (node: Node): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(TIMEOUT_MS)
      const response = await request(`http://127.0.0.1:${node.port}/readyz`, { signal })
      await response.body.dump()
      return response.statusCode === 200
    } catch {
      return false
    }
  }
}
