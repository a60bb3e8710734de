/** Limits of a service's retry budget. */
export interface RetryLimits {
  /** Retries for each first send of the service within the window. */
  readonly ratio: number
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number
  /** Retries allowed in addition to those that the ratio gives. */
  readonly slack: number
}

/**
 * Share of the retry budget that one scheduler uses, so that the total stays within the budget when the scheduler
 * changes within a window.
 */
export const SCHEDULER_BUDGET_SHARE = 0.45

/** Share of the retry budget that a host allows its own requests, whatever the scheduler grants. */
export const HOST_BUDGET_SHARE = 0.9

/** Retry budget of one service: counts first sends and retries in a sliding window. */
export class RetryBudget {
  private readonly firstSends: number[] = []
  private readonly retries: number[] = []

  /**
   * @param limits - limits over all hosts
   * @param usableShare - share of them that applies here, 0 to 1
   */
  constructor (private readonly limits: RetryLimits, private readonly usableShare: number) {}

  /** @param now - time of a request's first send, monotonic milliseconds */
  recordFirstSend (now: number): void {
    this.firstSends.push(now)
    this.removeExpired(now)
  }

  /**
   * Takes one retry from the budget if one is left.
   *
   * @param share - share of the slack that may be used here, 0 to 1
   * @param now - monotonic time, in milliseconds
   * @returns whether it was taken
   */
  take (share: number, now: number): boolean {
    this.removeExpired(now)
    const maxRetries = this.usableShare * (this.limits.ratio * this.firstSends.length + this.limits.slack * share)
    if (this.retries.length + 1 > maxRetries) return false
    this.retries.push(now)
    return true
  }

  private removeExpired (now: number): void {
    const windowStart = now - this.limits.windowMs
    for (const times of [this.firstSends, this.retries]) {
      let expired = 0
      while (expired < times.length && times[expired]! < windowStart) expired++
      if (expired > 0) times.splice(0, expired)
    }
  }
}
