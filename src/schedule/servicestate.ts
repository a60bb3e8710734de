import { Queue } from './queue.js'
import { Shares } from './shares.js'
import { type RepeatBounds, Repeats, SCHEDULER_BUDGET_SHARE } from './retrybudget.js'

/** Scheduling state of one service: its queue, the grant rates of its ranks and its retry budget. */
export class ServiceState {
  readonly queue = new Queue()
  readonly grantRates = new Shares()
  readonly retryBudget: Repeats

  /** @param limits - limits of the retry budget */
  constructor (limits: RepeatBounds) {
    this.retryBudget = new Repeats(limits, SCHEDULER_BUDGET_SHARE)
  }
}
