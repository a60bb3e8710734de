import type { ServerResponse } from 'node:http'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { type Context as HonoContext, Hono } from 'hono'
import { Metric } from '../metrics/index.js'
import { Outcome, type RequestResult, requestResult, type ResponsePart } from '../owner/index.js'
import { mintKey, scopedKey } from '../record/index.js'
import { readBody } from './body.js'
import { parseIdempotencyKey } from './caller.js'
import type { EntryContext, Env } from './context.js'
import { Delivery } from './delivery.js'
import type { DeliveryRequest } from './deliverycontext.js'
import { toProblem } from './resultproblem.js'
import { parseEngineRequest } from './enginerequest.js'
import { problemResponse } from './problem.js'
import { rejection, type RequestFilter } from './requestfilter.js'
import { collectAnswer, disconnectSignal, extractResponse, waitForEvents, writeEvents } from './stream.js'

const BAD_REQUEST = 400
const TOO_LARGE = 413
const NOT_FOUND = 404

/** The routes of the Responses API, whose requests run on engines. */
export class ResponseRoutes {
  /**
   * @param context - the dependencies and limits of the HTTP API for callers
   * @param filter - counts the requests in progress
   */
  constructor (private readonly context: EntryContext, private readonly filter: RequestFilter) {}

  /** @returns the routes under /v1/responses */
  routes (): Hono<Env> {
    const app = new Hono<Env>()
    app.post('/', async c => await this.create(c))
    app.get('/:id', async c => await this.read(c))
    app.post('/:id/cancel', async c => await this.cancel(c))
    return app
  }

  private async create (c: HonoContext<Env>): Promise<Response> {
    const { deliveryContext } = this.context
    const requestId = c.get('requestId')
    const organisation = c.get('organisation')
    const body = await readBody(c.env.incoming, this.context.maxBodyBytes)
    if (body.isErr()) return problemResponse(rejection(requestId, TOO_LARGE, body.error.code, body.error.message))
    const input = parseEngineRequest(body.value.toString('utf8'), organisation, deliveryContext.configuration())
    if (input.isErr()) return problemResponse(rejection(requestId, BAD_REQUEST, input.error.code, input.error.message))
    const sentKey = parseIdempotencyKey(c.req.header('idempotency-key'))
    if (sentKey.isErr()) return problemResponse(rejection(requestId, BAD_REQUEST, 'malformed', sentKey.error.message))
    const now = deliveryContext.clock.now()
    const key = sentKey.value === undefined
      ? mintKey(deliveryContext.self(), now)
      : scopedKey(organisation, sentKey.value)
    const signal = disconnectSignal(c.env.outgoing)
    const hasGeneratedKey = sentKey.value === undefined
    const request: DeliveryRequest = {
      requestId, key, hasGeneratedKey, engineRequest: input.value, arrivedAt: now, signal
    }
    return await this.answer(c.env.outgoing, request, new Delivery(deliveryContext, request).run())
  }

  private async answer (
    outgoing: ServerResponse, request: DeliveryRequest, parts: AsyncGenerator<ResponsePart>
  ): Promise<Response> {
    const { requestId, engineRequest } = request
    this.filter.trackStart()
    const started = await waitForEvents(parts)
    const startedAt = this.context.deliveryContext.clock.now()
    const onEnd = (result: RequestResult): void => {
      this.filter.trackEnd()
      this.recordOutcome(request, startedAt, result)
    }
    if (started.first.part === 'end') {
      onEnd(started.first.result)
      return problemResponse(toProblem(started.first.result, requestId))
    }
    if (engineRequest.isStream) {
      onEnd(await writeEvents(outgoing, requestId, started, result => toProblem(result, requestId)))
      return RESPONSE_ALREADY_SENT
    }
    const collected = await collectAnswer(started)
    onEnd(collected.result)
    if (collected.result.outcome !== Outcome.answered) return problemResponse(toProblem(collected.result, requestId))
    const headers = { 'content-type': 'application/json', 'x-request-id': requestId }
    return new Response(extractResponse(collected.events), { headers })
  }

  private recordOutcome (request: DeliveryRequest, startedAt: number, result: RequestResult): void {
    const { workClass, organisation } = request.engineRequest.demand
    const now = this.context.deliveryContext.clock.now()
    const tags = { tier: String(workClass.tier), className: workClass.name }
    const meetsObjective = startedAt - request.arrivedAt <= workClass.startWithinMs &&
      now - request.arrivedAt <= workClass.finishWithinMs
    if (result.outcome === Outcome.answered) {
      this.context.metrics.count(Metric.answered, 1, tags)
      if (meetsObjective) this.context.metrics.count(Metric.goodput, 1, tags)
    } else {
      const metric = result.outcome === Outcome.notRun
        ? Metric.notRun
        : result.outcome === Outcome.preempted ? Metric.preempted : Metric.unknown
      this.context.metrics.count(metric, 1, { ...tags, reason: result.reason })
    }
    this.context.log.info({
      requestId: request.requestId,
      organisation,
      className: workClass.name,
      outcome: result.outcome,
      reason: result.reason,
      startMs: startedAt - request.arrivedAt,
      finishMs: now - request.arrivedAt
    }, 'request ended')
  }

  /** Streams the answer of an existing response, from its start or after a given event. */
  private async read (c: HonoContext<Env>): Promise<Response> {
    const requestId = c.get('requestId')
    const id = c.req.param('id') ?? ''
    const server = this.context.responseIds.serverOf(id, c.get('organisation'))
    if (server === undefined) return problemResponse(rejection(requestId, NOT_FOUND, 'absent', `no response "${id}"`))
    const after = Number(c.req.query('starting_after') ?? -1)
    if (!Number.isInteger(after)) {
      return problemResponse(rejection(requestId, BAD_REQUEST, 'malformed', 'starting_after: expected an integer'))
    }
    this.filter.trackStart()
    const signal = disconnectSignal(c.env.outgoing)
    const started = await waitForEvents(this.context.deliveryContext.owners.attach(server, id, after, false, signal))
      .catch(() => undefined)
    if (started === undefined || started.first.part === 'end') {
      this.filter.trackEnd()
      const result = started?.first.part === 'end'
        ? started.first.result
        : requestResult(Outcome.unknown, 'owner-lost', 1_000)
      return problemResponse(toProblem(result, requestId))
    }
    await writeEvents(c.env.outgoing, requestId, started, result => toProblem(result, requestId))
      .catch(() => undefined)
    this.filter.trackEnd()
    return RESPONSE_ALREADY_SENT
  }

  private async cancel (c: HonoContext<Env>): Promise<Response> {
    const requestId = c.get('requestId')
    const id = c.req.param('id') ?? ''
    const server = this.context.responseIds.serverOf(id, c.get('organisation'))
    if (server === undefined) return problemResponse(rejection(requestId, NOT_FOUND, 'absent', `no response "${id}"`))
    await this.context.deliveryContext.owners.cancel(server, id)
    return c.json({ id, object: 'response', status: 'cancelled' })
  }
}
