import { type BackendServer, isSameIncarnation } from './server.js'

/** What backend servers say of themselves in their responses to this host, sooner than in their entries. */
export class Statements {
  private readonly leaving = new Map<string, BackendServer>()

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
   * @param server - a server
   * @returns whether this incarnation of it leaves
   */
  isLeaving (server: BackendServer): boolean {
    const known = this.leaving.get(server.id)
    return known !== undefined && isSameIncarnation(known, server)
  }

  /** @param id - id of a server that is no longer listed */
  forget (id: string): void {
    this.leaving.delete(id)
  }
}
