/** The token gap that must hold for 95 in 100 answers, in milliseconds. */
export const GAP_TARGET_MS = 39

const FIRST_LIMIT = 4
const GREATEST_LIMIT = 512
const SHRINK = 0.85
/** The limit grows only while the token gap stays below this share of the target. */
const ROOM = 0.85
/** Time between two cuts of the limit, in milliseconds: a cut must show its effect before the next. */
const CUT_PERIOD_MS = 2_000
const GAP_WEIGHT = 0.05

/**
 * How many jobs a server may run at once, learned from the token gaps it
 * shows: additive growth while there is room and work waits, a
 * multiplicative cut when gaps pass the target.
 */
export class Limit {
  private value = FIRST_LIMIT
  private gap = 0
  private cutAt = -Infinity

  /** The present limit, in jobs. */
  get jobs (): number {
    return Math.max(1, Math.floor(this.value))
  }

  /**
   * Learns from the time between two tokens.
   *
   * @param gapMs - the gap, in milliseconds
   * @param now - the present time, in milliseconds since the epoch
   */
  learn (gapMs: number, now: number): void {
    this.gap = this.gap === 0 ? gapMs : this.gap + GAP_WEIGHT * (gapMs - this.gap)
    if (this.gap <= GAP_TARGET_MS || now - this.cutAt < CUT_PERIOD_MS) return
    this.value = Math.max(1, this.value * SHRINK)
    this.cutAt = now
    this.gap = GAP_TARGET_MS * ROOM
  }

  /**
   * Notes that a job finished while others waited for a place.
   *
   * @param running - how many jobs ran until then
   */
  grow (running: number): void {
    if (running < this.jobs || this.gap > GAP_TARGET_MS * ROOM) return
    this.value = Math.min(GREATEST_LIMIT, this.value + 1 / Math.sqrt(this.value))
  }
}
