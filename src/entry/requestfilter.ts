import type { MiddlewareHandler } from 'hono'
import { timeId } from '../base/index.js'
import { checkHeaders, organisationFor } from './caller.js'
import type { Context, Env } from './context.js'
import { type Problem, problemResponse, Ran } from './problem.js'

const UNAUTHORIZED = 401
const BAD_REQUEST = 400
const UNAVAILABLE = 503
const CLOSED_RETRY_MS = 1_000

/** Lets in requests of known callers while there is room, and counts those inside. */
export class Gate {
  private inside = 0

  /** @param context - what the callers' interface works with */
  constructor (private readonly context: Context) {}

  /** How many requests are in progress. */
  get count (): number {
    return this.inside
  }

  /** Notes that a request is in progress. Call {@link Gate.leave} when it is done. */
  enter (): void {
    this.inside++
  }

  /** Notes that a request is done. */
  leave (): void {
    this.inside--
  }

  /** @returns the handler that stands before all callers' routes */
  handler (): MiddlewareHandler<Env> {
    return async (c, next) => {
      const requestId = timeId(this.context.desk.clock.now())
      c.set('requestId', requestId)
      const problem = this.refusal(requestId, c.req.header('idempotency-key') !== undefined)
      if (problem !== undefined) return problemResponse(problem)
      const headers = checkHeaders(c.env.incoming.rawHeaders)
      if (headers.isErr()) return problemResponse(rejection(requestId, BAD_REQUEST, 'malformed', headers.error.message))
      const organisation = organisationFor(c.req.header('authorization'), this.context.desk.configuration())
      if (organisation.isErr()) {
        return problemResponse(rejection(requestId, UNAUTHORIZED, 'unauthenticated', organisation.error.message))
      }
      c.set('organisation', organisation.value)
      return await next()
    }
  }

  private refusal (requestId: string, isKeyed: boolean): Problem | undefined {
    const isFull = this.inside >= this.context.greatestRequests
    if (this.context.isOpen() && !isFull) return undefined
    const type = isFull ? 'busy' : 'closing'
    const title = isFull ? 'This host has too many requests in progress' : 'This host is leaving'
    // An earlier attempt with the caller's key may have run elsewhere; that was not looked up.
    const outcome = isKeyed ? Ran.unknown : Ran.notRun
    return { status: UNAVAILABLE, type, title, detail: title, outcome, retryAfterMs: CLOSED_RETRY_MS, requestId }
  }
}

/**
 * @param requestId - the request
 * @param status - the HTTP status
 * @param type - a short word for the kind of problem
 * @param detail - names the offending value
 * @returns the problem of a request that can't be taken as it is
 */
export function rejection (requestId: string, status: number, type: string, detail: string): Problem {
  return { status, type, title: 'The request can not be taken', detail, outcome: Ran.notRun, retryAfterMs: 0, requestId }
}
