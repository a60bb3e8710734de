import type { ServerResponse } from 'node:http'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { type Context as Call, Hono } from 'hono'
import { Metric } from '../metrics/index.js'
import { type Ending, ending, Outcome, type Part } from '../owner/index.js'
import { callerKey, mintKey } from '../record/index.js'
import { readBody } from './body.js'
import { idempotencyKey } from './caller.js'
import type { Context, Env } from './context.js'
import { Delivery } from './delivery.js'
import { readDraft } from './enginerequest.js'
import type { Order } from './deliverycontext.js'
import { type Gate, rejection } from './requestfilter.js'
import { problemResponse } from './problem.js'
import { gather, goneSignal, responseOf, start, writeEvents } from './stream.js'
import { toProblem } from './endingproblem.js'

const BAD_REQUEST = 400
const TOO_LONG = 413
const NOT_FOUND = 404

/** The routes for requests to engines: the Responses API. */
export class Drafts {
  /**
   * @param context - what the callers' interface works with
   * @param gate - counts the requests in progress
   */
  constructor (private readonly context: Context, private readonly gate: Gate) {}

  /** @returns the routes below /v1/responses */
  routes (): Hono<Env> {
    const app = new Hono<Env>()
    app.post('/', async c => await this.create(c))
    app.get('/:id', async c => await this.read(c))
    app.post('/:id/cancel', async c => await this.cancel(c))
    return app
  }

  private async create (c: Call<Env>): Promise<Response> {
    const { desk } = this.context
    const requestId = c.get('requestId')
    const organisation = c.get('organisation')
    const body = await readBody(c.env.incoming, this.context.greatestBodyBytes)
    if (body.isErr()) return problemResponse(rejection(requestId, TOO_LONG, body.error.code, body.error.message))
    const draft = readDraft(body.value.toString('utf8'), organisation, desk.configuration())
    if (draft.isErr()) return problemResponse(rejection(requestId, BAD_REQUEST, draft.error.code, draft.error.message))
    const sent = idempotencyKey(c.req.header('idempotency-key'))
    if (sent.isErr()) return problemResponse(rejection(requestId, BAD_REQUEST, 'malformed', sent.error.message))
    const now = desk.clock.now()
    const key = sent.value === undefined ? mintKey(desk.self(), now) : callerKey(organisation, sent.value)
    const signal = goneSignal(c.env.outgoing)
    const isMinted = sent.value === undefined
    const order: Order = { requestId, key, isMinted, draft: draft.value, arrived: now, signal }
    return await this.answer(c.env.outgoing, order, new Delivery(desk, order).run())
  }

  private async answer (outgoing: ServerResponse, order: Order, parts: AsyncGenerator<Part>): Promise<Response> {
    const { requestId, draft } = order
    this.gate.enter()
    const started = await start(parts)
    const firstAt = this.context.desk.clock.now()
    const onEnd = (how: Ending): void => {
      this.gate.leave()
      this.note(order, firstAt, how)
    }
    if (started.first.part === 'end') {
      onEnd(started.first.ending)
      return problemResponse(toProblem(started.first.ending, requestId))
    }
    if (draft.isStream) {
      onEnd(await writeEvents(outgoing, requestId, started, how => toProblem(how, requestId)))
      return RESPONSE_ALREADY_SENT
    }
    const gathered = await gather(started)
    onEnd(gathered.ending)
    if (gathered.ending.outcome !== Outcome.answered) return problemResponse(toProblem(gathered.ending, requestId))
    const headers = { 'content-type': 'application/json', 'x-request-id': requestId }
    return new Response(responseOf(gathered.events), { headers })
  }

  private note (order: Order, firstAt: number, how: Ending): void {
    const { workClass, organisation } = order.draft.demand
    const now = this.context.desk.clock.now()
    const tags = { tier: String(workClass.tier), className: workClass.name }
    const isMet = firstAt - order.arrived <= workClass.startWithinMs && now - order.arrived <= workClass.finishWithinMs
    if (how.outcome === Outcome.answered) {
      this.context.metrics.count(Metric.answered, 1, tags)
      if (isMet) this.context.metrics.count(Metric.goodput, 1, tags)
    } else {
      const metric = how.outcome === Outcome.notRun
        ? Metric.notRun
        : how.outcome === Outcome.yielded ? Metric.yielded : Metric.unknown
      this.context.metrics.count(metric, 1, { ...tags, reason: how.reason })
    }
    this.context.log.info({
      requestId: order.requestId,
      organisation,
      className: workClass.name,
      outcome: how.outcome,
      reason: how.reason,
      startMs: firstAt - order.arrived,
      finishMs: now - order.arrived
    }, 'request ended')
  }

  /** Reads on an answer, from its start or after an event. */
  private async read (c: Call<Env>): Promise<Response> {
    const requestId = c.get('requestId')
    const id = c.req.param('id') ?? ''
    const server = this.context.ids.serverOf(id, c.get('organisation'))
    if (server === undefined) return problemResponse(rejection(requestId, NOT_FOUND, 'absent', `no response "${id}"`))
    const after = Number(c.req.query('starting_after') ?? -1)
    if (!Number.isInteger(after)) {
      return problemResponse(rejection(requestId, BAD_REQUEST, 'malformed', 'starting_after: expected a whole number'))
    }
    this.gate.enter()
    const signal = goneSignal(c.env.outgoing)
    const started = await start(this.context.desk.owners.attach(server, id, after, false, signal))
      .catch(() => undefined)
    if (started === undefined || started.first.part === 'end') {
      this.gate.leave()
      const how = started?.first.part === 'end' ? started.first.ending : ending(Outcome.unknown, 'owner-lost', 1_000)
      return problemResponse(toProblem(how, requestId))
    }
    await writeEvents(c.env.outgoing, requestId, started, how => toProblem(how, requestId)).catch(() => undefined)
    this.gate.leave()
    return RESPONSE_ALREADY_SENT
  }

  private async cancel (c: Call<Env>): Promise<Response> {
    const requestId = c.get('requestId')
    const id = c.req.param('id') ?? ''
    const server = this.context.ids.serverOf(id, c.get('organisation'))
    if (server === undefined) return problemResponse(rejection(requestId, NOT_FOUND, 'absent', `no response "${id}"`))
    await this.context.desk.owners.cancel(server, id)
    return c.json({ id, object: 'response', status: 'cancelled' })
  }
}
