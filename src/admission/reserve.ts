import { LOWEST_TIER } from '../config/index.js'

/** Places kept free per job that had to yield. */
const PLACES_PER_YIELD = 2
/** Most places kept free, as a share of the limit. */
const GREATEST_SHARE = 0.5
/** Time after which half of the places are given back, in milliseconds. */
const HALF_LIFE_MS = 5_000

/**
 * Places that lower tiers leave free, so that higher tiers seldom have to take
 * them from running jobs. It grows when a job yields and shrinks with time.
 */
export class Reserve {
  private readonly places = new Array<number>(LOWEST_TIER + 1).fill(0)
  private readonly changedAt = new Array<number>(LOWEST_TIER + 1).fill(0)

  /**
   * @param tier - a tier
   * @param limit - the server's limit, in jobs
   * @param now - the present time, in milliseconds since the epoch
   * @returns how many places jobs of the tier leave free
   */
  for (tier: number, limit: number, now: number): number {
    return Math.floor(Math.min(this.present(tier, now), limit * GREATEST_SHARE))
  }

  /**
   * Learns that a job yielded.
   *
   * @param tier - the job's tier
   * @param limit - the server's limit, in jobs
   * @param now - the present time, in milliseconds since the epoch
   */
  learn (tier: number, limit: number, now: number): void {
    for (let lower = tier; lower <= LOWEST_TIER; lower++) {
      const places = this.present(lower, now) + PLACES_PER_YIELD
      this.places[lower] = Math.min(places, limit * GREATEST_SHARE)
      this.changedAt[lower] = now
    }
  }

  private present (tier: number, now: number): number {
    return this.places[tier]! * 0.5 ** ((now - this.changedAt[tier]!) / HALF_LIFE_MS)
  }
}
