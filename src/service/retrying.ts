import type { Clock } from '../base/index.js'
import type { RetryBudget } from './budget.js'
import type { ForwardedCall, ServiceClient } from './client.js'
import type { CallOutcome } from './outcome.js'
import type { WorkerPool } from './pool.js'

const RETRY_AFTER_MS = 2_000
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

/** Whether an answer with this status is returned to the caller rather than retried on another worker. */
function isFinalStatus (status: number): boolean {
  return status < BAD_GATEWAY || status > GATEWAY_TIMEOUT
}

/** Executes calls that may be retried. A failed call is retried on another worker, within a retry budget. */
export class RetryingExecutor {
  /**
   * @param client - sends calls to workers
   * @param budget - limits the retries
   * @param clock - reads the current time
   */
  constructor (
    private readonly client: ServiceClient, private readonly budget: RetryBudget, private readonly clock: Clock
  ) {}

  /**
   * Executes a call.
   *
   * @param pool - the service's workers
   * @param call - the call to forward
   * @returns the first complete answer with a final status; `unknown` if every attempt failed, `not-run` if there
   *   was no worker to try
   */
  async run (pool: WorkerPool, call: ForwardedCall): Promise<CallOutcome> {
    const tried = new Set<string>()
    this.budget.deposit()
    let reason = 'no-worker'
    for (;;) {
      const worker = pool.choose(tried, this.clock.now())
      if (worker === undefined) break
      tried.add(worker.name)
      pool.recordSend(worker.name)
      const result = await this.client.send(worker.address, call)
      const hasSucceeded = result.isOk() && isFinalStatus(result.value.status)
      pool.recordOutcome(worker.name, hasSucceeded, this.clock.now())
      if (result.isOk() && hasSucceeded) return { outcome: 'answered', answer: result.value }
      reason = result.isErr() ? result.error.code : `status-${result.value.status}`
      if (!this.budget.tryWithdraw()) break
    }
    const outcome = tried.size === 0 ? 'not-run' : 'unknown'
    return { outcome, reason, retryAfterMs: RETRY_AFTER_MS }
  }
}
