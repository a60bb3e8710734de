import { type BackendServer, isSameIncarnation } from '../fleet/index.js'
import type { BackendService } from '../routing/index.js'
import { Brittleness, ColdBound, type ColdOvershoot, type HostShares, type ServiceBounds } from './allowance/index.js'
import { Refusal } from './effect.js'
import { ServerLoad } from './load.js'
import type { SpeedSummary } from './speed.js'

/** Loads of all backend servers that may get requests. */
export class ServerLoads {
  private readonly loads = new Map<string, ServerLoad>()
  /** By service; kept while servers fall over and return. */
  private readonly bounds = new Map<string, ServiceBounds>()
  private evacuatedDataCentres: ReadonlySet<string> = new Set()

  /** @param coldOvershoot - how far requests to a cold server may exceed its rate; undefined if they are not bounded */
  constructor (private readonly coldOvershoot?: ColdOvershoot) {}

  /** @param services - the services as configured */
  setServices (services: Iterable<BackendService>): void {
    for (const { name, coldRequestsPerS } of services) this.boundsOf(name).cold.setRate(coldRequestsPerS)
  }

  /** @param dataCentres - the data centres whose servers may get no requests for now */
  setEvacuated (dataCentres: ReadonlySet<string>): void {
    this.evacuatedDataCentres = dataCentres
  }

  /**
   * Sets the known servers. A server that restarted begins with an empty state.
   *
   * @param servers - all of them; others are dropped
   * @param now - monotonic time, in milliseconds
   */
  setServers (servers: readonly BackendServer[], now: number): void {
    // Which of the servers that are found first have just started is not known.
    const isFirst = this.loads.size === 0
    const ids = new Set(servers.map(server => server.id))
    for (const id of this.loads.keys()) if (!ids.has(id)) this.loads.delete(id)
    for (const server of servers) {
      const known = this.loads.get(server.id)
      if (known?.server === server) continue
      const isKnown = known !== undefined && isSameIncarnation(known.server, server)
      const load = isKnown ? known : new ServerLoad(server, this.boundsOf(server.service))
      if (!isKnown && !isFirst) load.allowance.pace.begin()
      load.server = server
      load.allowance.cold.recordStatement(server.coldMs, now)
      this.loads.set(server.id, load)
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
   * @returns the loads of its servers that may get requests
   */
  forService (service: string): ServerLoad[] {
    return [...this.loads.values()].filter(({ server }) => server.service === service && !this.isEvacuated(server))
  }

  /**
   * @param service - name of a service
   * @returns whether it has servers, but in evacuated data centres only
   */
  isServiceEvacuated (service: string): boolean {
    if (this.evacuatedDataCentres.size === 0) return false
    const servers = [...this.loads.values()].map(({ server }) => server).filter(server => server.service === service)
    return servers.length > 0 && servers.every(server => this.isEvacuated(server))
  }

  /**
   * @param service - name of a service
   * @returns why a job of the service gets no server
   */
  refusal (service: string): Refusal {
    if (this.isServiceEvacuated(service)) return Refusal.evacuated
    return this.forService(service).length === 0 ? Refusal.noServer : Refusal.capacity
  }

  private isEvacuated (server: BackendServer): boolean {
    return this.evacuatedDataCentres.has(server.dataCentre)
  }

  private boundsOf (service: string): ServiceBounds {
    const known = this.bounds.get(service)
    if (known !== undefined) return known
    const bounds = { brittleness: new Brittleness(), cold: new ColdBound(this.coldOvershoot) }
    this.bounds.set(service, bounds)
    return bounds
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

  /**
   * @param shares - shares of slots and bounds that may be used here
   * @param now - monotonic time, in milliseconds
   * @returns the state of each server, for a dump
   */
  dump (shares: HostShares, now: number): unknown {
    return [...this.loads].map(([id, load]) => ({
      id,
      service: load.server.service,
      running: load.running.size,
      isEvacuated: this.isEvacuated(load.server),
      isCold: load.allowance.cold.isCold(now),
      pace: load.allowance.pace.inFlight,
      extraCalls: load.extraCalls(shares, now),
      requestsPerS: load.allowance.requestsPerS,
      unreadTokens: load.pendingPromptTokens,
      tokenMs: load.speed.tokenMs,
      stepMs: load.speed.stepMs
    }))
  }
}
