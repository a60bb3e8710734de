import { type BackendServer, isSameIncarnation } from './server.js'

/** Longest pause that is kept, in milliseconds; a server that asks for more is tried again then. */
const MAX_PAUSE_MS = 600_000

/** What backend servers say of themselves in their responses to this host, sooner than in their entries. */
export class Statements {
  private readonly leaving = new Map<string, BackendServer>()
  private readonly pauses = new Map<string, { readonly server: BackendServer, readonly until: number }>()

  /**
   * Records that a server leaves, which holds until it starts again.
   *
   * @param server - the server
   * @returns whether it was not known
   */
  recordLeaving (server: BackendServer): boolean {
    const isKnown = this.isLeaving(server)
    this.leaving.set(server.id, server)
    return !isKnown
  }

  /**
   * Records that a server asks this host for a pause.
   *
   * @param server - the server
   * @param pauseMs - length of the pause, in milliseconds
   * @param now - monotonic time, in milliseconds
   * @returns whether no earlier pause lasts
   */
  recordPause (server: BackendServer, pauseMs: number, now: number): boolean {
    const isNew = this.pauseLeftMs(server, now) === 0
    const until = now + Math.max(this.pauseLeftMs(server, now), Math.min(pauseMs, MAX_PAUSE_MS))
    this.pauses.set(server.id, { server, until })
    return isNew
  }

  /**
   * @param server - a server
   * @returns whether this incarnation of it leaves
   */
  isLeaving (server: BackendServer): boolean {
    const known = this.leaving.get(server.id)
    return known !== undefined && isSameIncarnation(known, server)
  }

  /**
   * @param server - a server
   * @param now - monotonic time, in milliseconds
   * @returns how long the pause lasts for which this incarnation of it has asked, in milliseconds; 0 if there is none
   */
  pauseLeftMs (server: BackendServer, now: number): number {
    const pause = this.pauses.get(server.id)
    return pause !== undefined && isSameIncarnation(pause.server, server) ? Math.max(0, pause.until - now) : 0
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns ids of the servers that asked for a pause that lasts
   */
  listPaused (now: number): string[] {
    for (const [id, { until }] of this.pauses) if (until <= now) this.pauses.delete(id)
    return [...this.pauses.keys()]
  }

  /** @param id - id of a server that is no longer listed */
  forget (id: string): void {
    this.leaving.delete(id)
    this.pauses.delete(id)
  }
}
