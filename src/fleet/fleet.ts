import { type BackendServer, sameIncarnation, sameStatement } from './server.js'

/** One change of the list of servers: an entry that was written, or one that was removed. */
export interface FleetChange {
  readonly id: string
  /** Orders the changes of one entry: the higher is newer. */
  readonly revision: number
  /** Undefined if the entry was removed or names no server that can be used. */
  readonly server: BackendServer | undefined
}

interface Entry {
  revision: number
  server: BackendServer | undefined
  /** When the entry was removed, on the steady clock. */
  removedAt: number | undefined
}

/** Servers whose entry lapsed during an outage of the store are back within this time after it, if they live. */
export const RETURN_GRACE_MS = 2_000

/** How long a removed entry is remembered, in milliseconds, so that older news of it changes nothing. */
const REMOVED_MEMORY_MS = 60_000

/** The backend servers that are known, by their newest entries. */
export class Fleet {
  private readonly entries = new Map<string, Entry>()
  /** Until when removed entries may be an effect of an outage. */
  private doubtedUntil = 0

  /**
   * Tells that the store answers again after it was away.
   *
   * @param now - steady time, in milliseconds
   */
  storeReturned (now: number): void {
    this.doubtedUntil = now + RETURN_GRACE_MS
  }

  /**
   * Applies a change unless a newer one of the same entry is known.
   *
   * @param change - an entry as it was written or removed
   * @param now - steady time, in milliseconds
   * @returns whether it says anything but that the server lives on
   */
  apply (change: FleetChange, now: number): boolean {
    const known = this.entries.get(change.id)
    if (known !== undefined && known.revision >= change.revision) return false
    const isDoubted = change.server === undefined && now < this.doubtedUntil && known?.server?.isDraining === false
    this.entries.set(change.id, {
      revision: change.revision,
      server: change.server ?? (isDoubted ? known?.server : undefined),
      removedAt: change.server === undefined ? now : undefined
    })
    this.forget(now)
    return known?.removedAt !== undefined || !isHeartbeat(known?.server, change.server)
  }

  private forget (now: number): void {
    for (const [id, { removedAt }] of this.entries) {
      if (removedAt !== undefined && now - removedAt > REMOVED_MEMORY_MS) this.entries.delete(id)
    }
  }

  /**
   * Finds a server that may get new work.
   *
   * @param id - the server's id
   * @param now - steady time, in milliseconds
   * @returns the server, or undefined if it is unknown, draining or gone
   */
  usable (id: string, now: number): BackendServer | undefined {
    const entry = this.entries.get(id)
    const server = entry?.server
    if (entry === undefined || server === undefined || server.isDraining) return undefined
    return entry.removedAt !== undefined && now >= this.doubtedUntil ? undefined : server
  }

  /**
   * @param now - steady time, in milliseconds
   * @returns all servers that may get new work
   */
  all (now: number): BackendServer[] {
    return [...this.entries.keys()].map(id => this.usable(id, now)).filter(server => server !== undefined)
  }

  /**
   * @param server - a statement of a server
   * @returns whether it is still the newest known life of that server, draining or not
   */
  isCurrent (server: BackendServer): boolean {
    const known = this.entries.get(server.id)?.server
    return known !== undefined && sameIncarnation(known, server)
  }
}

function isHeartbeat (before: BackendServer | undefined, after: BackendServer | undefined): boolean {
  return before !== undefined && after !== undefined && sameStatement(before, after)
}
