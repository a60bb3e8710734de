import { Queue } from './queue.js'
import { GrantRates } from './grantrates.js'
import { type RetryLimits, RetryBudget, SCHEDULER_BUDGET_SHARE } from './retrybudget.js'

/** Scheduling state of one service: its queue, the grant rates of its ranks and its retry budget. */
export class ServiceState {
  readonly queue = new Queue()
  readonly grantRates = new GrantRates()
  readonly retryBudget: RetryBudget

  /** @param limits - limits of the retry budget */
  constructor (limits: RetryLimits) {
    this.retryBudget = new RetryBudget(limits, SCHEDULER_BUDGET_SHARE)
  }
}
