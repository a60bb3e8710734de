/** The token gap that must hold for 95 in 100 answers, in milliseconds. */
export const GAP_TARGET_MS = 39

const FIRST_LIMIT = 4
const GREATEST_LIMIT = 512
const CUT = 0.85
/** The limit grows only while the token gap stays below this share of the target. */
const ROOM = 0.85
/** Time between two changes of the limit, in milliseconds: one must show its effect before the next. */
const GROW_PERIOD_MS = 250
const CUT_PERIOD_MS = 2_000
/** Time between two steps of growth once the server was found full, in milliseconds. */
const PROBE_PERIOD_MS = 5_000
/** Growth until the first cut, as a factor. */
const START_GROWTH = 1.25
const GAP_WEIGHT = 0.05

/**
 * How many jobs a server may run at once, learned from the token gaps it
 * shows: fast growth until the first cut, additive growth after it, a
 * multiplicative cut when gaps pass the target. It grows only while jobs wait.
 * A job that the server kept waiting shows how many it serves at once.
 */
export class Limit {
  private value = FIRST_LIMIT
  private gap = 0
  private changedAt = -Infinity
  private isStarting = true
  private wasFull = false

  /** The present limit, in jobs. */
  get jobs (): number {
    return Math.max(1, Math.floor(this.value))
  }

  /**
   * Learns from the time between two tokens.
   *
   * @param gapMs - the gap, in milliseconds
   * @param isShort - whether jobs wait for a place
   * @param now - the present time, in milliseconds since the epoch
   */
  learn (gapMs: number, isShort: boolean, now: number): void {
    this.gap = this.gap === 0 ? gapMs : this.gap + GAP_WEIGHT * (gapMs - this.gap)
    const sinceMs = now - this.changedAt
    if (this.gap > GAP_TARGET_MS) {
      if (sinceMs >= CUT_PERIOD_MS) this.cut(now)
    } else if (isShort && this.gap <= GAP_TARGET_MS * ROOM && sinceMs >= this.growPeriodMs) {
      this.grow(now)
    }
  }

  /**
   * Learns that the server kept a job waiting although it was dispatched.
   *
   * @param producing - how many jobs it served meanwhile
   * @param now - the present time, in milliseconds since the epoch
   */
  full (producing: number, now: number): void {
    this.value = Math.max(1, Math.min(this.value, producing))
    this.changedAt = now
    this.isStarting = false
    this.wasFull = true
  }

  private get growPeriodMs (): number {
    return this.wasFull ? PROBE_PERIOD_MS : GROW_PERIOD_MS
  }

  private cut (now: number): void {
    this.value = Math.max(1, this.value * CUT)
    this.changedAt = now
    this.isStarting = false
    this.gap = GAP_TARGET_MS * ROOM
  }

  private grow (now: number): void {
    const wanted = this.isStarting ? this.value * START_GROWTH : this.value + 1
    this.value = Math.min(GREATEST_LIMIT, wanted)
    this.changedAt = now
  }
}
