import { Outcome } from './outcome.js'

/** Weight of the latest outcome in a server's share of failures. */
const LATEST_WEIGHT = 0.2

/** Time in which a share of failures that is not renewed falls to a third, in milliseconds. */
const FORGET_MS = 4_000

/** First time without new work for a server that can't be reached, in milliseconds; doubles with each strike. */
const FIRST_REST_MS = 250

/** Longest time without new work, in milliseconds: about a restart of a server. */
const LONGEST_REST_MS = 4_000

/** Time without new work for a server that said it is full, in milliseconds: about one place coming free. */
const FULL_REST_MS = 60

/** What the outcomes of its requests say about one server. */
export class Health {
  private failures = 0
  private failuresAt = 0
  private strikes = 0
  private restsUntil = 0
  /** When the latest failure to reach it was seen, so that failures of one moment count once. */
  private struckAt = -LONGEST_REST_MS

  /**
   * @param outcome - what became of a request
   * @param now - steady time, in milliseconds
   */
  saw (outcome: Outcome, now: number): void {
    if (outcome === Outcome.done) {
      this.strikes = 0
      this.weigh(0, now)
    } else if (outcome === Outcome.failed) {
      this.weigh(1, now)
    } else if (outcome === Outcome.rejected) {
      this.restsUntil = Math.max(this.restsUntil, now + FULL_REST_MS)
    } else if (outcome === Outcome.unreachable || outcome === Outcome.silent || outcome === Outcome.misdirected) {
      this.strike(now)
    } else if (outcome === Outcome.broken) {
      this.weigh(1, now)
    }
  }

  /**
   * @param now - steady time, in milliseconds
   * @returns whether it may get no new work
   */
  rests (now: number): boolean {
    return now < this.restsUntil
  }

  /** Whether it must show itself with one request at a time before it gets more. */
  get isOnTrial (): boolean {
    return this.strikes > 0
  }

  /**
   * @param now - steady time, in milliseconds
   * @returns the share of requests that failed lately, 0 to 1
   */
  failureShare (now: number): number {
    return this.failures * Math.exp(-(now - this.failuresAt) / FORGET_MS)
  }

  private weigh (failure: number, now: number): void {
    const share = this.failureShare(now)
    this.failures = share + LATEST_WEIGHT * (failure - share)
    this.failuresAt = now
  }

  private strike (now: number): void {
    if (now - this.struckAt < FIRST_REST_MS) return
    this.struckAt = now
    this.restsUntil = now + Math.min(FIRST_REST_MS * 2 ** this.strikes, LONGEST_REST_MS)
    this.strikes++
  }
}
