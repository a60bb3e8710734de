import type { BufferedResponse } from './bufferedresponse.js'
import type { CallerRequest } from './callerrequest.js'
import type { CallerResponse } from './callerresponse.js'
import type { ForwardContext } from './context.js'
import type { Delivery } from './delivery.js'
import { Status } from './status.js'

/** Retry-After of failed attempts for which the scheduler gave no time, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 500

/** Statuses by which callers know that their request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([Status.badRequest, Status.tooManyRequests, Status.unavailable])

/** The final response to an attempt for which no server gave a successful one. */
export class FailedResponse {
  /** Whether a server may have run the request. */
  mayHaveRun = false
  /** A server's own error response, for the caller if no retry succeeds. */
  serverFailure: BufferedResponse | undefined

  /**
   * @param context - what the handling of requests depends on
   * @param request - the caller's request
   * @param response - the response to the caller
   */
  constructor (
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    private readonly response: CallerResponse
  ) {}

  /**
   * Sends the final response. Callers take some statuses to mean that the request did not run, so these are sent only
   * if that is certain.
   *
   * @param status - the HTTP status that describes the failure
   * @param reason - a short explanation
   * @param delivery - the latest send of the request, if any
   * @param retryAfterMs - time after which the caller may retry if the request did not run, in milliseconds
   */
  send (
    status: number, reason: string, delivery: Delivery | undefined, retryAfterMs = DEFAULT_RETRY_AFTER_MS
  ): void {
    const { response, serverFailure: result } = this
    if (response.isStarted) this.cutOff(reason, delivery)
    else if (result !== undefined) response.send(result.status, result.headers, result.body, result.isCloseDelimited)
    else if (this.mayHaveRun) response.sendText(NOT_RUN_STATUSES.has(status) ? Status.badGateway : status, reason)
    else if (status === Status.badRequest) response.sendText(status, reason)
    else response.sendText(NOT_RUN_STATUSES.has(status) ? status : Status.unavailable, reason, retryAfterMs)
  }

  /** Ends a response that was started, without its end. Logged at any level, since its caller gets no status. */
  private cutOff (reason: string, delivery: Delivery | undefined): void {
    const { request, context } = this
    const now = context.clock.now()
    context.log.warn({
      event: 'response-cut',
      attempt: request.attemptId,
      route: request.route.name,
      server: delivery?.server.id,
      reason,
      silentMs: Math.round(delivery?.silenceMs(now) ?? 0),
      ageMs: Math.round(now - request.arrivedAt),
      leftMs: Math.round(request.deadlineAt - now),
      deployment: context.deployment()?.revision
    }, 'response-cut')
    this.response.destroy()
  }
}
