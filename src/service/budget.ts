const DEPOSIT_PER_CALL = 0.2
const MAX_BALANCE = 20

/** Limits retries to a share of the first attempts, so that an outage does not cause a retry storm. */
export class RetryBudget {
  private balance = MAX_BALANCE

  /** Adds the share of a retry that each first attempt of a call allows. */
  deposit (): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + DEPOSIT_PER_CALL)
  }

  /** @returns whether a retry may be made, in which case it is charged */
  tryWithdraw (): boolean {
    if (this.balance < 1) return false
    this.balance--
    return true
  }
}
