import { SECOND_MS } from '../base/index.js'
import type { Organisation } from '../routing/index.js'

/** How far an organisation's use over all hosts may exceed its rate and burst. */
export interface OvershootLimits {
  /** As a share of rate and burst. */
  readonly share: number
  /** Units allowed in addition to that share. */
  readonly units: number
}

/**
 * Share of the permitted overshoot that a scheduler grants. The rest covers changes of scheduler, when two schedulers
 * grant units at the same time.
 */
const GRANTED_OVERSHOOT_SHARE = 0.5

/**
 * Share of the bucket that each rank leaves to the ranks above it, by rank. When a quota runs short, lower ranks are
 * refused first, and the highest rank still has enough for a long prompt.
 */
const RESERVED_SHARES = [0, 0.2, 0.3]

/** Requests of up to this share of the bucket ignore the reserve, since refusing them would save next to nothing. */
const SMALL_REQUEST_SHARE = 0.0025

/** Initial fill of a bucket whose previous use is unknown, as after a change of scheduler. */
export const UNKNOWN_BALANCE_SHARE = 0.4

/** How long granted units are kept, in milliseconds; older balances of other schedulers are ignored. */
export const GRANT_RETENTION_MS = 10_000

/** Grants within this time are merged into one entry, in milliseconds, which keeps the list of grants short. */
const GRANT_MERGE_MS = 50

interface GrantedUnits {
  readonly at: number
  units: number
}

/** Token bucket that holds the units an organisation may still use. */
export class Quota {
  private balance: number
  private refilledAt: number
  private grants: GrantedUnits[] = []
  /** Time to which the newest adopted balance of another scheduler refers. */
  private adoptedAt = -Infinity

  /**
   * @param organisation - the organisation, with its rate and burst
   * @param overshoot - how far use may exceed them
   * @param share - share of rate and burst that may be used here, 0 to 1
   * @param initialFill - initial fill of the bucket, 0 to 1
   * @param now - monotonic time, in milliseconds
   */
  constructor (
    private organisation: Organisation,
    private readonly overshoot: OvershootLimits,
    private share: number,
    initialFill: number,
    now: number
  ) {
    this.balance = this.capacity * initialFill
    this.refilledAt = now
  }

  /**
   * Changes the rate, the burst and the share.
   *
   * @param organisation - the organisation, with its rate and burst
   * @param share - share of rate and burst that may be used here, 0 to 1
   * @param now - monotonic time, in milliseconds
   */
  update (organisation: Organisation, share: number, now: number): void {
    this.refill(now)
    // Hosts that join bring their share of the remaining balance.
    this.balance *= share / this.share
    this.organisation = organisation
    this.share = share
    this.balance = Math.min(this.balance, this.capacity)
  }

  /**
   * Takes units if the balance suffices.
   *
   * @param units - number of units
   * @param rank - rank of the job that uses them; 0 is the highest
   * @param now - monotonic time, in milliseconds
   * @returns 0 if they were taken, else the time until the balance suffices, in milliseconds
   */
  take (units: number, rank: number, now: number): number {
    if (this.organisation.ratePerS <= 0) return 0
    this.refill(now)
    // A request that exceeds the capacity passes when the bucket is full, and leaves a negative balance.
    const isSmall = units <= SMALL_REQUEST_SHARE * this.capacity
    const reserved = isSmall ? 0 : RESERVED_SHARES[Math.min(rank, RESERVED_SHARES.length - 1)]! * this.capacity
    const required = Math.min(units + reserved, this.capacity)
    if (this.balance >= required) {
      this.balance -= units
      this.recordGrant(units, now)
      return 0
    }
    return (required - this.balance) / this.ratePerMs
  }

  /**
   * Returns units to the bucket.
   *
   * @param units - units that were taken and not used
   * @param now - monotonic time, in milliseconds
   */
  refund (units: number, now: number): void {
    this.balance = Math.min(this.balance + units, this.capacity)
    this.recordGrant(-units, now)
  }

  /**
   * Adopts the balance of another scheduler, less the units granted here since. A balance that is older than the last
   * adopted one, or than the retained grants, is ignored.
   *
   * @param balanceShare - balance as a share of the bucket; negative after overuse
   * @param at - time to which the balance refers, monotonic milliseconds
   * @param now - monotonic time, in milliseconds
   */
  adopt (balanceShare: number, at: number, now: number): void {
    if (at <= this.adoptedAt || now - at > GRANT_RETENTION_MS) return
    this.adoptedAt = at
    const grantedSince = this.grants.filter(grant => grant.at > at).reduce((sum, grant) => sum + grant.units, 0)
    this.balance = Math.min(this.capacity, balanceShare * this.capacity + (now - at) * this.ratePerMs) - grantedSince
    this.refilledAt = now
  }

  /** Balance as a share of the bucket; negative after overuse. */
  get balanceShare (): number {
    return this.balance / this.capacity
  }

  private recordGrant (units: number, now: number): void {
    const last = this.grants.at(-1)
    if (last !== undefined && now - last.at < GRANT_MERGE_MS) last.units += units
    else this.grants.push({ at: now, units })
    while (this.grants.length > 0 && now - this.grants[0]!.at > GRANT_RETENTION_MS) this.grants.shift()
  }

  private get capacity (): number {
    const { share, units } = this.overshoot
    return (this.organisation.burst * (1 + GRANTED_OVERSHOOT_SHARE * share) + GRANTED_OVERSHOOT_SHARE * units) *
      this.share
  }

  private get ratePerMs (): number {
    return this.organisation.ratePerS * (1 + GRANTED_OVERSHOOT_SHARE * this.overshoot.share) * this.share / SECOND_MS
  }

  private refill (now: number): void {
    const elapsedMs = Math.max(0, now - this.refilledAt)
    this.balance = Math.min(this.capacity, this.balance + elapsedMs * this.ratePerMs)
    this.refilledAt = now
  }
}
