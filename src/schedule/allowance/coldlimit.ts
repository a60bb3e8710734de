import { SECOND_MS } from '../../base/index.js'
import type { ColdBound } from './coldbound.js'
import type { HostShares } from './hostshares.js'

/**
 * Time over which grants are counted, in milliseconds: the second of the bound, and by how much requests that were
 * granted apart may arrive closer together, as a processor core may be paused for 100 ms.
 */
const WINDOW_MS = SECOND_MS + 250

/** Share of the bound that is granted to a cold server; the rest covers requests that hosts send late. */
const GRANTED_SHARE = 0.9

/**
 * Bounds the requests that one server gets in a second while it is cold. Since it may become cold up to a heartbeat
 * before it says so, it is bounded at other times too, but less strictly.
 */
export class ColdLimit {
  private coldUntil = -Infinity
  /** Times of the grants within the window, in milliseconds of monotonic time. */
  private readonly grants: number[] = []

  /** @param bound - the bound of the server's service */
  constructor (private readonly bound: ColdBound) {}

  /**
   * Records what the server says of itself.
   *
   * @param coldMs - how much longer it is cold, in milliseconds; 0 if it is not
   * @param now - monotonic time, in milliseconds
   */
  recordStatement (coldMs: number, now: number): void {
    this.coldUntil = coldMs > 0 ? now + coldMs : -Infinity
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns whether the server is cold, as it last said
   */
  isCold (now: number): boolean {
    return now < this.coldUntil
  }

  /** @param now - monotonic time at which the server is granted a request, in milliseconds */
  recordGrant (now: number): void {
    if (this.bound.requests !== undefined) this.grants.push(now)
  }

  /**
   * @param shares - shares of the bound that may be used here
   * @param now - monotonic time, in milliseconds
   * @returns how many more requests the server may get; infinite if it needs no bound
   */
  available (shares: HostShares, now: number): number {
    const { requests } = this.bound
    if (requests === undefined) return Infinity
    while (this.grants.length > 0 && this.grants[0]! <= now - WINDOW_MS) this.grants.shift()
    const permitted = this.isCold(now)
      ? Math.floor(requests * GRANTED_SHARE * shares.settled)
      : Math.max(1, Math.floor(requests * shares.connected))
    return Math.max(0, permitted - this.grants.length)
  }
}
