import { type BackendServer, hasSameState, isSameIncarnation } from './server.js'
import { type Evacuation, Evacuations } from './evacuations.js'
import { Statements } from './statements.js'

/** One change in the list of servers: an entry was written or removed. */
export interface FleetChange {
  readonly id: string
  /** Orders the changes of one entry; the change with the higher revision is newer. */
  readonly revision: number
  /** Undefined if the entry was removed or describes no usable server. */
  readonly server: BackendServer | undefined
}

interface Entry {
  revision: number
  server: BackendServer | undefined
  /** When the entry was removed, in milliseconds of monotonic time; undefined if it is present. */
  removedAt: number | undefined
  /** The server of an entry that was removed. */
  departed: BackendServer | undefined
  /** Until this monotonic time, the server gets no requests though its entry says that it is ready. */
  heldUntil: number
}

/**
 * Time after a store outage in which live servers write their entries again, in milliseconds, if these expired during
 * the outage.
 */
export const OUTAGE_GRACE_MS = 2_000

/**
 * Time after the store has returned from a copy in which the copy may list a server that has left meanwhile, in
 * milliseconds: several heartbeats, after which its entry is corrected or removed.
 */
const COPY_DOUBT_MS = 5_000

/** How long a removed entry is remembered, in milliseconds, so that changes that arrive late do not restore it. */
const REMOVED_RETENTION_MS = 60_000

/** What is left of the times in which entries of servers are in doubt, in milliseconds. */
export interface FleetDoubts {
  /** For which servers whose entries are removed stay usable, since the store was away. */
  readonly outageGraceMs: number
  /** For which servers that were draining or gone stay unusable, since the store has returned from a copy. */
  readonly copyDoubtMs: number
}

/** The known backend servers, each as described by its newest entry. */
export class Fleet {
  /** What servers say of themselves in their responses to this host. */
  readonly statements = new Statements()
  private readonly evacuations = new Evacuations()
  private readonly entries = new Map<string, Entry>()
  /** Until this monotonic time, the removal of an entry may be an effect of a store outage. */
  private graceUntil = 0
  /** Until this monotonic time, an entry may be from the copy to which the store has returned. */
  private doubtUntil = 0

  /**
   * Starts the grace period after a store outage. Servers whose entries are removed in this period stay usable until
   * it ends.
   *
   * @param now - monotonic time, in milliseconds
   */
  startOutageGrace (now: number): void {
    this.graceUntil = now + OUTAGE_GRACE_MS
  }

  /**
   * Starts the time after the store has returned from a copy. Servers that are missing stay usable as after an outage;
   * servers that were draining or gone stay unusable until it ends, though the copy lists them as ready.
   *
   * @param now - monotonic time, in milliseconds
   */
  startEra (now: number): void {
    this.startOutageGrace(now)
    this.doubtUntil = now + COPY_DOUBT_MS
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns what is left of both times in which entries are in doubt
   */
  doubts (now: number): FleetDoubts {
    return { outageGraceMs: Math.max(0, this.graceUntil - now), copyDoubtMs: Math.max(0, this.doubtUntil - now) }
  }

  /**
   * Takes over the times in which entries are in doubt from a host that sends entries; longer ones of this host remain.
   *
   * @param doubts - what is left of them
   * @param now - monotonic time, in milliseconds
   */
  extendDoubts ({ outageGraceMs, copyDoubtMs }: FleetDoubts, now: number): void {
    this.graceUntil = Math.max(this.graceUntil, now + Math.min(outageGraceMs, OUTAGE_GRACE_MS))
    this.doubtUntil = Math.max(this.doubtUntil, now + Math.min(copyDoubtMs, COPY_DOUBT_MS))
  }

  /**
   * Applies a change unless a newer change of the same entry is known.
   *
   * @param change - the change
   * @param now - monotonic time, in milliseconds
   * @returns whether anything changed beyond what each heartbeat updates
   */
  apply (change: FleetChange, now: number): boolean {
    const known = this.entries.get(change.id)
    if (known !== undefined && known.revision >= change.revision) return false
    this.entries.set(change.id, this.nextEntry(known, change, now))
    this.evictRemoved(now)
    return known?.removedAt !== undefined || !isHeartbeat(known?.server, change.server)
  }

  private nextEntry (known: Entry | undefined, { revision, server }: FleetChange, now: number): Entry {
    const departed = known?.server ?? known?.departed
    if (server !== undefined) {
      const heldUntil = this.isHeld(known, server, now) ? this.doubtUntil : 0
      return { revision, server, removedAt: undefined, departed, heldUntil }
    }
    const keepsServer = now < this.graceUntil && known?.server?.isDraining === false
    return { revision, server: keepsServer ? known.server : undefined, removedAt: now, departed, heldUntil: 0 }
  }

  /** Whether a listed server is the same incarnation as one that was draining or gone before the store returned. */
  private isHeld (known: Entry | undefined, server: BackendServer, now: number): boolean {
    const last = known?.server ?? known?.departed
    if (now >= this.doubtUntil || last === undefined) return false
    return isSameIncarnation(last, server) && (last.isDraining || known?.server === undefined || now < known.heldUntil)
  }

  private evictRemoved (now: number): void {
    for (const [id, { removedAt }] of this.entries) {
      if (removedAt === undefined || now - removedAt <= REMOVED_RETENTION_MS) continue
      this.entries.delete(id)
      this.statements.forget(id)
    }
  }

  /**
   * Finds a server that may get new requests of this host.
   *
   * @param id - id of the server
   * @param now - monotonic time, in milliseconds
   * @returns the server, or undefined if it is unknown, leaves, was removed or evacuated, or asked for a pause
   */
  findUsable (id: string, now: number): BackendServer | undefined {
    const server = this.findListed(id, now)
    if (server === undefined || this.evacuations.has(server.dataCentre, now)) return undefined
    return this.statements.pauseLeftMs(server, now) > 0 ? undefined : server
  }

  /**
   * Applies an operator's order to evacuate a data centre, or its end. An order that a copy of the store lacks stays in
   * force for as long as its entries are in doubt.
   *
   * @param evacuation - the order
   * @param now - monotonic time, in milliseconds
   * @returns whether anything changed
   */
  applyEvacuation (evacuation: Evacuation, now: number): boolean {
    return this.evacuations.apply(evacuation, Math.max(now, this.doubtUntil))
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns names of the evacuated data centres
   */
  evacuatedDataCentres (now: number): ReadonlySet<string> {
    return this.evacuations.list(now)
  }

  /**
   * @param service - name of a service
   * @param now - monotonic time, in milliseconds
   * @returns time until the first of its servers accepts requests of this host, in milliseconds; 0 if one does now, or
   *   if there is none
   */
  pauseLeftMs (service: string, now: number): number {
    if (this.statements.listPaused(now).length === 0) return 0
    const servers = this.listUsable(now).filter(server => server.service === service)
    return servers.length === 0 ? 0 : Math.min(...servers.map(server => this.statements.pauseLeftMs(server, now)))
  }

  /**
   * Records that another host was told by a server that it leaves.
   *
   * @param id - id of the server
   * @param born - start time of the server
   * @returns whether this host did not know
   */
  recordLeaving (id: string, born: number): boolean {
    const server = this.entries.get(id)?.server
    return server?.born === born && this.statements.recordLeaving(server)
  }

  private findListed (id: string, now: number): BackendServer | undefined {
    const entry = this.entries.get(id)
    const server = entry?.server
    if (entry === undefined || server === undefined || server.isDraining || now < entry.heldUntil) return undefined
    if (this.statements.isLeaving(server)) return undefined
    return entry.removedAt !== undefined && now >= this.graceUntil ? undefined : server
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns all servers that may get new requests of some host, those in evacuated data centres included
   */
  listUsable (now: number): BackendServer[] {
    return [...this.entries.keys()].map(id => this.findListed(id, now)).filter(server => server !== undefined)
  }

  /**
   * @param server - an earlier state of a server
   * @returns whether its process has ended, since it has started again or a later one has its address
   */
  isReplaced (server: BackendServer): boolean {
    const isLater = ({ server: known }: Entry): boolean => known !== undefined && known.born > server.born &&
      (known.id === server.id || known.address === server.address)
    return [...this.entries.values()].some(isLater)
  }

  /**
   * @param server - an earlier state of a server
   * @returns whether the newest known entry of that server is of the same incarnation, draining or not
   */
  isCurrent (server: BackendServer): boolean {
    const known = this.entries.get(server.id)?.server
    return known !== undefined && isSameIncarnation(known, server)
  }
}

function isHeartbeat (before: BackendServer | undefined, after: BackendServer | undefined): boolean {
  return before !== undefined && after !== undefined && hasSameState(before, after)
}
