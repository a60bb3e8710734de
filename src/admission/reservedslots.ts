import { LOWEST_TIER } from '../config/index.js'

const SLOTS_PER_PREEMPTION = 2
/** Maximum share of the concurrency limit that may be reserved. */
const MAX_RESERVED_SHARE = 0.5
/** Time after which half of a tier's reserved slots are released, in milliseconds. */
const HALF_LIFE_MS = 5_000

/**
 * Slots that lower tiers leave free so that higher tiers seldom have to
 * preempt running jobs. Each preemption reserves more slots; the reservation
 * decays exponentially.
 */
export class ReservedSlots {
  /** Reserved slots by tier, at the time of the last preemption. */
  private readonly slots = new Array<number>(LOWEST_TIER + 1).fill(0)
  /** Time of the last preemption by tier, in milliseconds since the epoch. */
  private readonly changedAt = new Array<number>(LOWEST_TIER + 1).fill(0)

  /**
   * @param tier - tier of the job to dispatch
   * @param limit - concurrency limit of the server, in jobs
   * @param now - the current time, in milliseconds since the epoch
   * @returns how many slots jobs of the tier must leave free
   */
  countFor (tier: number, limit: number, now: number): number {
    return Math.floor(Math.min(this.decayedCount(tier, now), limit * MAX_RESERVED_SHARE))
  }

  /**
   * Reserves slots in the tier of a preempted job and in all lower tiers.
   *
   * @param tier - tier of the preempted job
   * @param limit - concurrency limit of the server, in jobs
   * @param now - the current time, in milliseconds since the epoch
   */
  recordPreemption (tier: number, limit: number, now: number): void {
    for (let lower = tier; lower <= LOWEST_TIER; lower++) {
      const count = this.decayedCount(lower, now) + SLOTS_PER_PREEMPTION
      this.slots[lower] = Math.min(count, limit * MAX_RESERVED_SHARE)
      this.changedAt[lower] = now
    }
  }

  private decayedCount (tier: number, now: number): number {
    return this.slots[tier]! * 0.5 ** ((now - this.changedAt[tier]!) / HALF_LIFE_MS)
  }
}
