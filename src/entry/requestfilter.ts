import type { MiddlewareHandler } from 'hono'
import { uuidV7 } from '../base/index.js'
import { authenticateOrganisation, checkDuplicateHeaders } from './caller.js'
import type { EntryContext, Env } from './context.js'
import { ExecutionOutcome, type Problem, problemResponse } from './problem.js'

const UNAUTHORIZED = 401
const BAD_REQUEST = 400
const UNAVAILABLE = 503
const RETRY_AFTER_MS = 1_000

/** Admits authenticated requests up to a limit, and counts the requests in progress. */
export class RequestFilter {
  private inProgress = 0

  /** @param context - the dependencies and limits of the HTTP API for callers */
  constructor (private readonly context: EntryContext) {}

  /** The number of requests in progress. */
  get requestsInProgress (): number {
    return this.inProgress
  }

  /** Counts a request as in progress. Call {@link RequestFilter.trackEnd} when it ends. */
  trackStart (): void {
    this.inProgress++
  }

  /** Counts a request as ended. */
  trackEnd (): void {
    this.inProgress--
  }

  /** @returns the middleware that runs before all routes for callers */
  middleware (): MiddlewareHandler<Env> {
    return async (c, next) => {
      const requestId = uuidV7(this.context.deliveryContext.clock.now())
      c.set('requestId', requestId)
      const problem = this.admissionProblem(requestId, c.req.header('idempotency-key') !== undefined)
      if (problem !== undefined) return problemResponse(problem)
      const headers = checkDuplicateHeaders(c.env.incoming.rawHeaders)
      if (headers.isErr()) return problemResponse(rejection(requestId, BAD_REQUEST, 'malformed', headers.error.message))
      const organisation = authenticateOrganisation(
        c.req.header('authorization'), this.context.deliveryContext.configuration())
      if (organisation.isErr()) {
        return problemResponse(rejection(requestId, UNAUTHORIZED, 'unauthenticated', organisation.error.message))
      }
      c.set('organisation', organisation.value)
      return await next()
    }
  }

  private admissionProblem (requestId: string, hasIdempotencyKey: boolean): Problem | undefined {
    const isFull = this.inProgress >= this.context.maxRequests
    if (this.context.acceptsRequests() && !isFull) return undefined
    const type = isFull ? 'busy' : 'closing'
    const title = isFull ? 'This host has too many requests in progress' : 'This host does not accept new requests'
    // An earlier request with the same key may have run on another host; its record was not looked up.
    const outcome = hasIdempotencyKey ? ExecutionOutcome.unknown : ExecutionOutcome.notRun
    return { status: UNAVAILABLE, type, title, detail: title, outcome, retryAfterMs: RETRY_AFTER_MS, requestId }
  }
}

/**
 * @param requestId - the request id
 * @param status - the HTTP status
 * @param type - the problem type, without its URN prefix
 * @param detail - a sentence that names the offending value
 * @returns the problem that reports a request rejected before it was forwarded
 */
export function rejection (requestId: string, status: number, type: string, detail: string): Problem {
  return {
    status,
    type,
    title: 'The request was rejected',
    detail,
    outcome: ExecutionOutcome.notRun,
    retryAfterMs: 0,
    requestId
  }
}
