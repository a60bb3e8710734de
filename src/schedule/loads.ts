import { type BackendServer, sameIncarnation } from '../fleet/index.js'
import { Load } from './load.js'
import type { PaceSummary } from './speed.js'

/** What all backend servers have to do, and how well they do it. */
export class Loads {
  private readonly all = new Map<string, Load>()

  /**
   * Sets the servers that may get work. A server that began a new life is known no more.
   *
   * @param servers - all of them
   */
  setServers (servers: readonly BackendServer[]): void {
    const ids = new Set(servers.map(server => server.id))
    for (const id of this.all.keys()) if (!ids.has(id)) this.all.delete(id)
    for (const server of servers) {
      const known = this.all.get(server.id)
      if (known !== undefined && sameIncarnation(known.server, server)) known.server = server
      else this.all.set(server.id, new Load(server))
    }
  }

  /**
   * @param id - a server's id
   * @returns what it has to do, or undefined if it may get no work
   */
  get (id: string): Load | undefined {
    return this.all.get(id)
  }

  /**
   * @param service - a service
   * @returns its servers
   */
  of (service: string): Load[] {
    return [...this.all.values()].filter(load => load.server.service === service)
  }

  /** @param isGone - whether a job of this id runs no more */
  forget (isGone: (id: string) => boolean): void {
    for (const load of this.all.values()) {
      for (const id of load.running.keys()) if (isGone(id)) load.running.delete(id)
    }
  }

  /** What was learned of servers. */
  get paces (): PaceSummary[] {
    return [...this.all].filter(([, { pace }]) => pace.isKnown)
      .map(([server, { pace }]) => ({ server, tokenMs: pace.tokenMs, stepMs: pace.stepMs }))
  }

  /**
   * Takes over what the scheduler in charge learned of servers.
   *
   * @param paces - how fast they work
   */
  adoptPaces (paces: readonly PaceSummary[]): void {
    for (const pace of paces) this.all.get(pace.server)?.pace.adopt(pace)
  }

  /** @returns the state, for a dump */
  dump (): unknown {
    return [...this.all].map(([id, load]) => ({
      id,
      service: load.server.service,
      running: load.running.size,
      unreadTokens: load.unreadTokens,
      tokenMs: load.pace.tokenMs,
      stepMs: load.pace.stepMs
    }))
  }
}
