import { type Context as Call, Hono } from 'hono'
import { digest } from '../base/index.js'
import { isRepeatable, type Service } from '../config/index.js'
import { Metric } from '../metrics/index.js'
import { callerKey, mintKey } from '../record/index.js'
import type { CallOutcome, Forward } from '../service/index.js'
import { readBody } from './body.js'
import { idempotencyKey } from './caller.js'
import type { Context, Env } from './context.js'
import { type Gate, rejection } from './requestfilter.js'
import { problemResponse, Ran } from './problem.js'

const BAD_REQUEST = 400
const NOT_FOUND = 404
const TOO_LONG = 413
const MISMATCH_STATUS = 422
const LOST_STATUS = 502
const REFUSED_STATUS = 503

/** Request headers that are forwarded. */
const FORWARDED = ['accept', 'content-type']

/** The routes for calls of plain services. */
export class Calls {
  /**
   * @param context - what the callers' interface works with
   * @param gate - counts the requests in progress
   */
  constructor (private readonly context: Context, private readonly gate: Gate) {}

  /** @returns the routes below /services */
  routes (): Hono<Env> {
    const app = new Hono<Env>()
    app.all('/:service/*', async c => {
      this.gate.enter()
      try {
        return await this.call(c)
      } finally {
        this.gate.leave()
      }
    })
    return app
  }

  private async call (c: Call<Env>): Promise<Response> {
    const requestId = c.get('requestId')
    const name = c.req.param('service') ?? ''
    const service = this.context.desk.configuration().services.get(name)
    if (service === undefined) {
      return problemResponse(rejection(requestId, NOT_FOUND, 'unknown-service', `there is no service "${name}"`))
    }
    const body = await readBody(c.env.incoming, this.context.greatestBodyBytes)
    if (body.isErr()) return problemResponse(rejection(requestId, TOO_LONG, body.error.code, body.error.message))
    const sent = idempotencyKey(c.req.header('idempotency-key'))
    if (sent.isErr()) return problemResponse(rejection(requestId, BAD_REQUEST, 'malformed', sent.error.message))
    const outcome = await this.execute(c, service, body.value, sent.value)
    this.note(requestId, service, outcome)
    return this.respond(requestId, outcome)
  }

  private async execute (c: Call<Env>, service: Service, body: Buffer, sent: string | undefined): Promise<CallOutcome> {
    const url = new URL(c.req.url)
    const path = url.pathname.slice(`/services/${service.name}`.length) || '/'
    const pool = this.context.pool(service.name)
    const forward = this.forward(c, service, path + url.search, body)
    if (isRepeatable(service, { method: c.req.method, path })) return await this.context.repeater.run(pool, forward)
    const organisation = c.get('organisation')
    const { desk } = this.context
    const arrived = desk.clock.now()
    const key = sent === undefined
      ? mintKey(desk.self(), arrived)
      : callerKey(organisation, sent)
    const fingerprint = digest(`${c.req.method} ${service.name}${path}${url.search}\n${body.toString('base64')}`)
    return await this.context.once.run(pool, { key, isMinted: sent === undefined, fingerprint, forward, arrived })
  }

  private forward (c: Call<Env>, service: Service, path: string, body: Buffer): Forward {
    const headers: Record<string, string> = {
      'x-request-id': c.get('requestId'),
      'x-organisation': c.get('organisation')
    }
    for (const name of FORWARDED) {
      const value = c.req.header(name)
      if (value !== undefined) headers[name] = value
    }
    const key = c.req.header('idempotency-key')
    if (key !== undefined) headers['idempotency-key'] = key
    return { method: c.req.method, path, headers, body, timeoutMs: service.timeoutMs }
  }

  private respond (requestId: string, outcome: CallOutcome): Response {
    if (outcome.outcome === 'answered') {
      const { status, contentType, body } = outcome.answer
      const isEmpty = status === 204 || status === 304
      return new Response(isEmpty ? null : body, {
        status, headers: { 'content-type': contentType, 'x-request-id': requestId }
      })
    }
    if (outcome.outcome === 'mismatch') {
      const detail = 'the idempotency key stands for another call'
      return problemResponse(rejection(requestId, MISMATCH_STATUS, 'mismatch', detail))
    }
    const isNotRun = outcome.outcome === 'not-run'
    const title = isNotRun ? 'The call was not run' : 'The call may have been run'
    return problemResponse({
      status: isNotRun ? REFUSED_STATUS : LOST_STATUS,
      type: outcome.reason,
      title,
      detail: title,
      outcome: isNotRun ? Ran.notRun : Ran.unknown,
      retryAfterMs: outcome.retryAfterMs,
      requestId
    })
  }

  private note (requestId: string, service: Service, outcome: CallOutcome): void {
    const metric = outcome.outcome === 'unknown' ? Metric.callsUnknown : Metric.calls
    this.context.metrics.count(metric, 1, { className: service.name })
    this.context.log.info({ requestId, service: service.name, outcome: outcome.outcome }, 'call ended')
  }
}
