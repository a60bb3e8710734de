/** The token gap that must hold for 95 in 100 answers, in milliseconds. */
export const GAP_TARGET_MS = 39

/** How long jobs may wait inside the server for their first token, beyond what reading the prompt takes. */
const START_BUDGET_MS = 150

const FIRST_LIMIT = 4
const GREATEST_LIMIT = 512
const CUT = 0.9
/** The limit grows only while gaps and waits stay below this share of their targets. */
const ROOM = 0.85
/** Time between two changes of the limit, in milliseconds: one must show its effect before the next. */
const START_PERIOD_MS = 250
const GROW_PERIOD_MS = 1_000
const CUT_PERIOD_MS = 1_000
const STRETCH_PERIOD_MS = 50
/** Growth until the first cut, as a factor. */
const START_GROWTH = 1.25
/** Growth after it, as a share of the limit and in jobs. */
const GROWTH_SHARE = 0.03
const GAP_WEIGHT = 0.05
const WAIT_WEIGHT = 0.2
/** The long wait follows longer samples fast and shorter ones slowly, and so stays near the longest. */
const LONGER_WEIGHT = 0.2
const SHORTER_WEIGHT = 0.04

/**
 * How many jobs a server may run at once, learned from what it shows: the
 * time between tokens, and how long jobs wait inside it. Fast growth until the
 * first cut, additive growth after it, a multiplicative cut when either
 * passes its target. It grows only while jobs wait for a place.
 */
export class Limit {
  private value = FIRST_LIMIT
  private gap = 0
  private wait = 0
  private longWait = 0
  private changedAt = -Infinity
  private stretchedAt = -Infinity
  private isStarting = true

  /** The present limit, in jobs. */
  get jobs (): number {
    return Math.max(1, Math.floor(this.value))
  }

  /** How long most jobs lately waited inside the server at most, in milliseconds. */
  get waitMs (): number {
    return this.longWait
  }

  /**
   * Learns from the time between two tokens.
   *
   * @param gapMs - the gap, in milliseconds
   * @param isShort - whether jobs wait for a place
   * @param now - the present time, in milliseconds since the epoch
   */
  learnGap (gapMs: number, isShort: boolean, now: number): void {
    this.gap = this.gap === 0 ? gapMs : this.gap + GAP_WEIGHT * (gapMs - this.gap)
    this.decide(isShort, now)
  }

  /**
   * Learns from a first token.
   *
   * @param waitMs - time that the job waited inside the server, in milliseconds
   * @param isShort - whether jobs wait for a place
   * @param now - the present time, in milliseconds since the epoch
   */
  learnWait (waitMs: number, isShort: boolean, now: number): void {
    this.wait += WAIT_WEIGHT * (waitMs - this.wait)
    this.longWait += (waitMs > this.longWait ? LONGER_WEIGHT : SHORTER_WEIGHT) * (waitMs - this.longWait)
    this.decide(isShort, now)
  }

  /**
   * Makes one more place for a job that would otherwise take the place of
   * another, if the server has shown no pressure.
   *
   * @param now - the present time, in milliseconds since the epoch
   * @returns whether there is one more place
   */
  stretch (now: number): boolean {
    if (this.pressure > ROOM || now - this.stretchedAt < STRETCH_PERIOD_MS) return false
    this.stretchedAt = now
    this.value = Math.min(GREATEST_LIMIT, Math.floor(this.value) + 1)
    return true
  }

  private get pressure (): number {
    return Math.max(this.gap / GAP_TARGET_MS, this.wait / START_BUDGET_MS)
  }

  private decide (isShort: boolean, now: number): void {
    const sinceMs = now - this.changedAt
    if (this.pressure > 1) {
      if (sinceMs >= CUT_PERIOD_MS) this.cut(now)
    } else if (isShort && this.pressure <= ROOM && sinceMs >= (this.isStarting ? START_PERIOD_MS : GROW_PERIOD_MS)) {
      this.grow(now)
    }
  }

  private cut (now: number): void {
    this.value = Math.max(1, this.value * CUT)
    this.changedAt = now
    this.isStarting = false
  }

  private grow (now: number): void {
    const wanted = this.isStarting ? this.value * START_GROWTH : this.value + Math.max(1, this.value * GROWTH_SHARE)
    this.value = Math.min(GREATEST_LIMIT, wanted)
    this.changedAt = now
  }
}
