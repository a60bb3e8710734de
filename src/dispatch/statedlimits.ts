import type { BackendServer } from '../fleet/index.js'

/**
 * How long a limit is kept that the server has not stated again, in milliseconds. Servers state it in all responses, so
 * an older one belongs to a server that gets no requests or is gone.
 */
const RETENTION_MS = 60_000

/** A limit that a server states in its responses. */
export interface StatedLimit {
  readonly server: BackendServer
  /** Requests, or rejections that the server endures, per second from all hosts together. */
  readonly value: number
  /** When the server last stated it, in milliseconds of monotonic time. */
  readonly statedAt: number
}

/**
 * Called when a server states another limit than before.
 *
 * @param server - id of the server
 * @param value - the limit; undefined if the server no longer states one
 */
export type LimitObserver = (server: string, value: number | undefined) => void

/** The limits of one kind that servers stated in their responses to this host, and the servers that leave. */
export class StatedLimits {
  private readonly limits = new Map<string, StatedLimit>()
  private readonly leaving = new Map<string, Omit<StatedLimit, 'value'>>()

  /** @param onChange - called with each change */
  constructor (private readonly onChange: LimitObserver) {}

  /**
   * Records what a response states.
   *
   * @param server - the server that sent the response
   * @param value - the stated limit; undefined if there is none
   * @param requestedAt - before the request was sent, in milliseconds of monotonic time
   * @param now - monotonic time, in milliseconds
   */
  record (server: BackendServer, value: number | undefined, requestedAt: number, now: number): void {
    const known = this.limits.get(server.id)
    if (value !== undefined) this.limits.set(server.id, { server, value, statedAt: now })
    // A response to an earlier request may have been sent before the limit was first stated.
    else if (known !== undefined && requestedAt > known.statedAt) this.limits.delete(server.id)
    else return
    if (known?.value !== value) this.onChange(server.id, value)
    this.evictOld(now)
  }

  /**
   * Records that a server leaves.
   *
   * @param server - the server
   * @param now - monotonic time, in milliseconds
   */
  recordLeaving (server: BackendServer, now: number): void {
    this.leaving.set(server.id, { server, statedAt: now })
    for (const [id, { statedAt }] of this.leaving) if (now - statedAt > RETENTION_MS) this.leaving.delete(id)
  }

  /** @returns the servers that leave */
  listLeaving (): BackendServer[] {
    return [...this.leaving.values()].map(({ server }) => server)
  }

  /** @returns all limits that are stated */
  list (): StatedLimit[] {
    return [...this.limits.values()]
  }

  private evictOld (now: number): void {
    for (const [id, { statedAt }] of this.limits) if (now - statedAt > RETENTION_MS) this.limits.delete(id)
  }
}
