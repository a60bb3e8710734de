/** Number of retries that each first attempt adds to the balance. */
const DEPOSIT_PER_CALL = 0.2
/** Maximum balance, in retries. */
const MAX_BALANCE = 20

/** Limits retries to a share of the first attempts, so that an outage does not cause a retry storm. */
export class RetryBudget {
  private balance = MAX_BALANCE

  /** Records the first attempt of a call, which adds to the balance. */
  deposit (): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + DEPOSIT_PER_CALL)
  }

  /** @returns whether a retry may be made; if so, it is deducted from the balance */
  tryWithdraw (): boolean {
    if (this.balance < 1) return false
    this.balance--
    return true
  }
}
