import { type BackendServer, isSameIncarnation } from '../fleet/index.js'
import { Brittleness } from './brittleness.js'
import { ServerLoad } from './load.js'
import type { SpeedSummary } from './speed.js'

/** Loads of all backend servers that may get requests. */
export class ServerLoads {
  private readonly loads = new Map<string, ServerLoad>()
  /** By service; kept while servers fall over and return. */
  private readonly brittleness = new Map<string, Brittleness>()

  /**
   * Sets the servers that may get requests. A server that restarted begins with an empty state.
   *
   * @param servers - all of them; others are dropped
   */
  setServers (servers: readonly BackendServer[]): void {
    const ids = new Set(servers.map(server => server.id))
    for (const id of this.loads.keys()) if (!ids.has(id)) this.loads.delete(id)
    for (const server of servers) {
      const load = this.loads.get(server.id)
      if (load !== undefined && isSameIncarnation(load.server, server)) load.server = server
      else this.loads.set(server.id, new ServerLoad(server, this.brittlenessOf(server.service)))
    }
  }

  /**
   * @param id - a server's id
   * @returns its load, or undefined if the server may get no requests
   */
  get (id: string): ServerLoad | undefined {
    return this.loads.get(id)
  }

  /**
   * @param service - name of a service
   * @returns the loads of its servers
   */
  forService (service: string): ServerLoad[] {
    return [...this.loads.values()].filter(load => load.server.service === service)
  }

  private brittlenessOf (service: string): Brittleness {
    const brittleness = this.brittleness.get(service) ?? new Brittleness()
    this.brittleness.set(service, brittleness)
    return brittleness
  }

  /** @param isGone - whether the job with an id is no longer running */
  dropJobs (isGone: (id: string) => boolean): void {
    for (const load of this.loads.values()) {
      for (const id of load.running.keys()) if (isGone(id)) load.running.delete(id)
    }
  }

  /** Speed estimates of all servers with data, for other schedulers. */
  get speeds (): SpeedSummary[] {
    return [...this.loads].filter(([, { speed }]) => speed.hasData)
      .map(([server, { speed }]) => ({ server, tokenMs: speed.tokenMs, stepMs: speed.stepMs }))
  }

  /**
   * Adopts the speed estimates of the scheduler in use.
   *
   * @param summaries - its estimates; those of unknown servers are ignored
   */
  adoptSpeeds (summaries: readonly SpeedSummary[]): void {
    for (const summary of summaries) this.loads.get(summary.server)?.speed.adopt(summary)
  }

  /** @returns the state of each server, for a dump */
  dump (): unknown {
    return [...this.loads].map(([id, load]) => ({
      id,
      service: load.server.service,
      running: load.running.size,
      requestsPerS: load.requestsPerS,
      unreadTokens: load.pendingPromptTokens,
      tokenMs: load.speed.tokenMs,
      stepMs: load.speed.stepMs
    }))
  }
}
