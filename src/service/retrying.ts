import type { Clock } from '../base/index.js'
import type { RetryBudget } from './budget.js'
import type { Forward, ServiceClient } from './client.js'
import type { CallOutcome } from './outcome.js'
import type { Pool } from './pool.js'

const RETRY_AFTER_MS = 2_000
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504

function isWell (status: number): boolean {
  return status < BAD_GATEWAY || status > GATEWAY_TIMEOUT
}

/** Executes calls that may be repeated: on failure another worker is tried, within a budget. */
export class Repeater {
  /**
   * @param client - calls workers
   * @param budget - bounds the retries
   * @param clock - the present time
   */
  constructor (
    private readonly client: ServiceClient, private readonly budget: RetryBudget, private readonly clock: Clock
  ) {}

  /**
   * Executes a call.
   *
   * @param pool - the service's workers
   * @param call - the call
   * @returns the first whole answer, or `unknown` if none came
   */
  async run (pool: Pool, call: Forward): Promise<CallOutcome> {
    const tried = new Set<string>()
    this.budget.earn()
    let reason = 'no-worker'
    for (;;) {
      const worker = pool.choose(tried, this.clock.now())
      if (worker === undefined) break
      tried.add(worker.name)
      pool.sent(worker.name)
      const result = await this.client.send(worker.address, call)
      const well = result.isOk() && isWell(result.value.status)
      pool.done(worker.name, well, this.clock.now())
      if (result.isOk() && well) return { outcome: 'answered', answer: result.value }
      reason = result.isErr() ? result.error.code : `status-${result.value.status}`
      if (!this.budget.spend()) break
    }
    const outcome = tried.size === 0 ? 'not-run' : 'unknown'
    return { outcome, reason, retryAfterMs: RETRY_AFTER_MS }
  }
}
