import type { Clock } from '../base/index.js'
import { mayRetryAfterExecution } from '../routing/index.js'
import type { CallerRequest } from './callerrequest.js'

/** Least time before the deadline at which a request is retried, in milliseconds: about one round trip. */
const MIN_RETRY_TIME_MS = 30

/** Limits how often a request is sent. */
export class SendLimit {
  private sendCount = 0

  /**
   * @param request - the caller's request
   * @param clock - monotonic time
   */
  constructor (private readonly request: CallerRequest, private readonly clock: Clock) {}

  /** Number of sends that may have reached a server. */
  get sent (): number {
    return this.sendCount
  }

  /** Records a send that may have reached its server. */
  recordSend (): void {
    this.sendCount++
  }

  /** @returns whether the request may be sent again though a server may have run it */
  canRepeat (): boolean {
    return mayRetryAfterExecution(this.request.route) && this.canRetry(true)
  }

  /**
   * @param mayHaveRun - whether a server may have run the request
   * @returns whether the request may be sent again
   */
  canRetry (mayHaveRun: boolean): boolean {
    const { route, deadlineAt } = this.request
    if (mayHaveRun && !mayRetryAfterExecution(route)) return false
    return this.sendCount < route.maxAttempts && deadlineAt - this.clock.now() > MIN_RETRY_TIME_MS
  }
}
