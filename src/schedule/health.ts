import { Outcome, SUCCESSES } from './outcome.js'

/** Weight of the latest outcome in a server's failure rate, an exponential moving average. */
const OUTCOME_WEIGHT = 0.2

/** Time in which the failure rate decays to about a third without new outcomes, in milliseconds. */
const FAILURE_DECAY_MS = 4_000

/** First back-off from a server that can't be reached, in milliseconds; doubles with each failure in a row. */
const INITIAL_BACKOFF_MS = 250

/** Longest back-off, in milliseconds: about the time in which a server restarts. */
const MAX_BACKOFF_MS = 4_000

/** Back-off from a server that rejected a request as full, in milliseconds: about the time until one slot is free. */
const REJECTED_BACKOFF_MS = 60

/** Health of one server, derived from the outcomes of its requests. */
export class Health {
  private lastFailureRate = 0
  private lastFailureRateAt = 0
  private consecutiveFailures = 0
  private backoffUntil = 0
  /** Time of the latest counted connection failure; requests that fail together count once. */
  private lastFailureAt = -MAX_BACKOFF_MS

  /**
   * Updates the failure rate and the back-off.
   *
   * @param outcome - how a request ended
   * @param now - monotonic time, in milliseconds
   */
  recordOutcome (outcome: Outcome, now: number): void {
    if (SUCCESSES.has(outcome)) {
      this.consecutiveFailures = 0
      this.updateFailureRate(0, now)
    } else if (outcome === Outcome.failed) {
      this.updateFailureRate(1, now)
    } else if (outcome === Outcome.rejected) {
      this.backoffUntil = Math.max(this.backoffUntil, now + REJECTED_BACKOFF_MS)
    } else if (outcome === Outcome.unreachable || outcome === Outcome.silent || outcome === Outcome.misdirected) {
      this.backOff(now)
    } else if (outcome === Outcome.broken) {
      this.updateFailureRate(1, now)
    }
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns whether the server gets no new requests for now
   */
  isBackingOff (now: number): boolean {
    return now < this.backoffUntil
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the decayed share of requests that failed, 0 to 1
   */
  failureRate (now: number): number {
    return this.lastFailureRate * Math.exp(-(now - this.lastFailureRateAt) / FAILURE_DECAY_MS)
  }

  private updateFailureRate (sample: number, now: number): void {
    const rate = this.failureRate(now)
    this.lastFailureRate = rate + OUTCOME_WEIGHT * (sample - rate)
    this.lastFailureRateAt = now
  }

  private backOff (now: number): void {
    if (now - this.lastFailureAt < INITIAL_BACKOFF_MS) return
    this.lastFailureAt = now
    this.backoffUntil = now + Math.min(INITIAL_BACKOFF_MS * 2 ** this.consecutiveFailures, MAX_BACKOFF_MS)
    this.consecutiveFailures++
  }
}
