/** Target for the time between two tokens, to be met by 95 % of answers, in milliseconds. */
export const TOKEN_GAP_TARGET_MS = 39

/** Target for the time that a job is queued inside the server, beyond its prefill time, in milliseconds. */
const SERVER_WAIT_TARGET_MS = 150

const INITIAL_LIMIT = 4
const MAX_LIMIT = 512
const DECREASE_FACTOR = 0.9
/** The limit increases only while gaps and waits stay below this share of their targets. */
const INCREASE_THRESHOLD = 0.85
/** Minimum times between two changes of the limit, in milliseconds, so that each takes effect before the next. */
const SLOW_START_INTERVAL_MS = 250
const INCREASE_INTERVAL_MS = 1_000
const DECREASE_INTERVAL_MS = 1_000
const EXTRA_SLOT_INTERVAL_MS = 50
/** Factor of each increase until the first decrease. */
const SLOW_START_FACTOR = 1.25
/** Increase after the first decrease, as a share of the limit; at least one job. */
const INCREASE_SHARE = 0.03
const GAP_SMOOTHING_FACTOR = 0.05
const WAIT_SMOOTHING_FACTOR = 0.2
/** The peak wait rises faster than it falls, so that it stays near the longest recent waits. */
const PEAK_RISE_SMOOTHING_FACTOR = 0.2
const PEAK_FALL_SMOOTHING_FACTOR = 0.04

/**
 * Adaptive limit on the number of jobs that a server runs at once, controlled
 * by the time between tokens and the time that jobs are queued inside the
 * server. Similar to TCP congestion control: exponential increase until the
 * first decrease (slow start), additive increase after it, and a multiplicative
 * decrease when either measurement exceeds its target. The limit increases
 * only while jobs wait for a slot.
 */
export class ConcurrencyLimit {
  private limit = INITIAL_LIMIT
  private gapAverageMs = 0
  private waitAverageMs = 0
  private peakWaitMs = 0
  private changedAt = -Infinity
  private extraSlotAt = -Infinity
  private isSlowStart = true

  /** Number of jobs that may run at once. */
  get jobs (): number {
    return Math.max(1, Math.floor(this.limit))
  }

  /** Smoothed peak of the time that recent jobs were queued inside the server, in milliseconds. */
  get serverWaitMs (): number {
    return this.peakWaitMs
  }

  /**
   * Records the time between two tokens.
   *
   * @param gapMs - time since the previous token, in milliseconds
   * @param hasWaitingJobs - whether jobs wait for a slot
   * @param now - the current time, in milliseconds since the epoch
   */
  recordGap (gapMs: number, hasWaitingJobs: boolean, now: number): void {
    this.gapAverageMs = this.gapAverageMs === 0
      ? gapMs
      : this.gapAverageMs + GAP_SMOOTHING_FACTOR * (gapMs - this.gapAverageMs)
    this.adjust(hasWaitingJobs, now)
  }

  /**
   * Records how long a job was queued inside the server before its first token.
   *
   * @param waitMs - time to the first token beyond the expected time, in milliseconds
   * @param hasWaitingJobs - whether jobs wait for a slot
   * @param now - the current time, in milliseconds since the epoch
   */
  recordWait (waitMs: number, hasWaitingJobs: boolean, now: number): void {
    this.waitAverageMs += WAIT_SMOOTHING_FACTOR * (waitMs - this.waitAverageMs)
    this.peakWaitMs += (waitMs > this.peakWaitMs ? PEAK_RISE_SMOOTHING_FACTOR : PEAK_FALL_SMOOTHING_FACTOR) *
      (waitMs - this.peakWaitMs)
    this.adjust(hasWaitingJobs, now)
  }

  /**
   * Adds one slot for a job that would otherwise preempt another, unless the
   * gaps or waits are close to their targets or a slot was added just before.
   *
   * @param now - the current time, in milliseconds since the epoch
   * @returns whether a slot was added
   */
  tryAddSlot (now: number): boolean {
    if (this.targetRatio > INCREASE_THRESHOLD || now - this.extraSlotAt < EXTRA_SLOT_INTERVAL_MS) return false
    this.extraSlotAt = now
    this.limit = Math.min(MAX_LIMIT, Math.floor(this.limit) + 1)
    return true
  }

  /** The gap or the wait as a share of its target, whichever is larger. */
  private get targetRatio (): number {
    return Math.max(this.gapAverageMs / TOKEN_GAP_TARGET_MS, this.waitAverageMs / SERVER_WAIT_TARGET_MS)
  }

  private adjust (hasWaitingJobs: boolean, now: number): void {
    const elapsedMs = now - this.changedAt
    if (this.targetRatio > 1) {
      if (elapsedMs >= DECREASE_INTERVAL_MS) this.decrease(now)
    } else if (hasWaitingJobs && this.targetRatio <= INCREASE_THRESHOLD &&
      elapsedMs >= (this.isSlowStart ? SLOW_START_INTERVAL_MS : INCREASE_INTERVAL_MS)) {
      this.increase(now)
    }
  }

  private decrease (now: number): void {
    this.limit = Math.max(1, this.limit * DECREASE_FACTOR)
    this.changedAt = now
    this.isSlowStart = false
  }

  private increase (now: number): void {
    const increased = this.isSlowStart
      ? this.limit * SLOW_START_FACTOR
      : this.limit + Math.max(1, this.limit * INCREASE_SHARE)
    this.limit = Math.min(MAX_LIMIT, increased)
    this.changedAt = now
  }
}
