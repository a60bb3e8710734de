const EARNED_PER_CALL = 0.2
const GREATEST_SAVINGS = 20

/** Bounds retries to a share of first calls, so that an outage makes no storm. */
export class RetryBudget {
  private savings = GREATEST_SAVINGS

  /** Notes a first call. */
  earn (): void {
    this.savings = Math.min(GREATEST_SAVINGS, this.savings + EARNED_PER_CALL)
  }

  /** @returns whether a retry may be made; it then counts */
  spend (): boolean {
    if (this.savings < 1) return false
    this.savings--
    return true
  }
}
