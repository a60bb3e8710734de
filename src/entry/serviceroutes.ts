import { type Context as HonoContext, Hono } from 'hono'
import { digest } from '../base/index.js'
import { isRepeatable, type Service } from '../config/index.js'
import { Metric } from '../metrics/index.js'
import { mintKey, scopedKey } from '../record/index.js'
import type { CallOutcome, ForwardedCall } from '../service/index.js'
import { readBody } from './body.js'
import { parseIdempotencyKey } from './caller.js'
import type { EntryContext, Env } from './context.js'
import { ExecutionOutcome, problemResponse } from './problem.js'
import { rejection, type RequestFilter } from './requestfilter.js'

const BAD_REQUEST = 400
const NOT_FOUND = 404
const TOO_LARGE = 413
const UNPROCESSABLE = 422
const BAD_GATEWAY = 502
const UNAVAILABLE = 503

/** The request headers that are forwarded to workers, besides the idempotency key. */
const FORWARDED_HEADERS = ['accept', 'content-type']

/** The routes for calls to services. */
export class ServiceRoutes {
  /**
   * @param context - the dependencies and limits of the HTTP API for callers
   * @param filter - counts the requests in progress
   */
  constructor (private readonly context: EntryContext, private readonly filter: RequestFilter) {}

  /** @returns the routes under /services */
  routes (): Hono<Env> {
    const app = new Hono<Env>()
    app.all('/:service/*', async c => {
      this.filter.trackStart()
      try {
        return await this.handleCall(c)
      } finally {
        this.filter.trackEnd()
      }
    })
    return app
  }

  private async handleCall (c: HonoContext<Env>): Promise<Response> {
    const requestId = c.get('requestId')
    const name = c.req.param('service') ?? ''
    const service = this.context.deliveryContext.configuration().services.get(name)
    if (service === undefined) {
      return problemResponse(rejection(requestId, NOT_FOUND, 'unknown-service', `there is no service "${name}"`))
    }
    const body = await readBody(c.env.incoming, this.context.maxBodyBytes)
    if (body.isErr()) return problemResponse(rejection(requestId, TOO_LARGE, body.error.code, body.error.message))
    const sentKey = parseIdempotencyKey(c.req.header('idempotency-key'))
    if (sentKey.isErr()) return problemResponse(rejection(requestId, BAD_REQUEST, 'malformed', sentKey.error.message))
    const outcome = await this.execute(c, service, body.value, sentKey.value)
    this.recordOutcome(requestId, service, outcome)
    return this.toResponse(requestId, outcome)
  }

  private async execute (
    c: HonoContext<Env>, service: Service, body: Buffer, sentKey: string | undefined
  ): Promise<CallOutcome> {
    const url = new URL(c.req.url)
    const path = url.pathname.slice(`/services/${service.name}`.length) || '/'
    const pool = this.context.poolOf(service.name)
    const call = this.toForwardedCall(c, service, path + url.search, body)
    if (isRepeatable(service, { method: c.req.method, path })) return await this.context.retrier.run(pool, call)
    const organisation = c.get('organisation')
    const { deliveryContext } = this.context
    const arrivedAt = deliveryContext.clock.now()
    const key = sentKey === undefined
      ? mintKey(deliveryContext.self(), arrivedAt)
      : scopedKey(organisation, sentKey)
    const fingerprint = digest(`${c.req.method} ${service.name}${path}${url.search}\n${body.toString('base64')}`)
    return await this.context.atMostOnce.run(
      pool, { key, isMinted: sentKey === undefined, fingerprint, request: call, arrivedAt })
  }

  private toForwardedCall (c: HonoContext<Env>, service: Service, path: string, body: Buffer): ForwardedCall {
    const headers: Record<string, string> = {
      'x-request-id': c.get('requestId'),
      'x-organisation': c.get('organisation')
    }
    for (const name of FORWARDED_HEADERS) {
      const value = c.req.header(name)
      if (value !== undefined) headers[name] = value
    }
    const key = c.req.header('idempotency-key')
    if (key !== undefined) headers['idempotency-key'] = key
    return { method: c.req.method, path, headers, body, timeoutMs: service.timeoutMs }
  }

  private toResponse (requestId: string, outcome: CallOutcome): Response {
    if (outcome.outcome === 'answered') {
      const { status, contentType, body } = outcome.answer
      const hasNoBody = status === 204 || status === 304
      return new Response(hasNoBody ? null : body, {
        status, headers: { 'content-type': contentType, 'x-request-id': requestId }
      })
    }
    if (outcome.outcome === 'mismatch') {
      const detail = 'the idempotency key was already used for a different call'
      return problemResponse(rejection(requestId, UNPROCESSABLE, 'mismatch', detail))
    }
    const isNotRun = outcome.outcome === 'not-run'
    const title = isNotRun ? 'The call was not executed' : 'The call may have been executed'
    return problemResponse({
      status: isNotRun ? UNAVAILABLE : BAD_GATEWAY,
      type: outcome.reason,
      title,
      detail: title,
      outcome: isNotRun ? ExecutionOutcome.notRun : ExecutionOutcome.unknown,
      retryAfterMs: outcome.retryAfterMs,
      requestId
    })
  }

  private recordOutcome (requestId: string, service: Service, outcome: CallOutcome): void {
    const metric = outcome.outcome === 'unknown' ? Metric.callsUnknown : Metric.calls
    this.context.metrics.count(metric, 1, { className: service.name })
    this.context.log.info({ requestId, service: service.name, outcome: outcome.outcome }, 'call ended')
  }
}
