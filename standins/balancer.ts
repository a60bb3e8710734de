import { request } from 'undici'
import type { DeployedProcess, Deployment } from './deployment.js'

const HEALTH_CHECK_INTERVAL_MS = 300
const HEALTH_CHECK_TIMEOUT_MS = 500

/** Stand-in for the platform's load balancer: selects in turn the hosts that pass their readiness check. */
export class LoadBalancer {
  private readyHosts: DeployedProcess[] = []
  private nextIndex = 0
  private isStopped = false

  /** @param deployment - the deployment whose hosts are balanced */
  constructor (private readonly deployment: Deployment) {}

  /** Checks all hosts once, then starts periodic checks. */
  async start (): Promise<void> {
    await this.checkHosts()
    void this.checkPeriodically()
  }

  /** Stops the periodic checks. */
  stop (): void {
    this.isStopped = true
  }

  /** @returns the port of the next ready host, or of the first host if none is ready */
  nextPort (): number {
    const host = this.readyHosts[this.nextIndex++ % this.readyHosts.length] ?? this.deployment.hosts[0]!
    return host.port
  }

  private async checkPeriodically (): Promise<void> {
    while (!this.isStopped) {
      await new Promise(resolve => setTimeout(resolve, HEALTH_CHECK_INTERVAL_MS))
      await this.checkHosts()
    }
  }

  private async checkHosts (): Promise<void> {
    const hosts = this.deployment.hosts.filter(host => host?.child.isRunning)
    const readiness = await Promise.all(hosts.map(async host => await this.isReady(host)))
    this.readyHosts = hosts.filter((_, i) => readiness[i])
  }

  private async isReady (host: DeployedProcess): Promise<boolean> {
    try {
      const signal = AbortSignal.timeout(HEALTH_CHECK_TIMEOUT_MS)
      const response = await request(`http://127.0.0.1:${host.port}/readyz`, { signal })
      await response.body.dump()
      return response.statusCode === 200
    } catch {
      return false
    }
  }
}
