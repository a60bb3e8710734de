import type { Placement, Ticket } from '../dispatch/index.js'
import type { BackendServer } from '../fleet/index.js'
import { mayRepeat } from '../routing/index.js'
import { Outcome, Refusal } from '../schedule/index.js'
import type { Answer } from './callerresponse.js'
import type { CallerRequest } from './callerrequest.js'
import type { ForwardContext } from './context.js'
import { Delivery, type Result } from './delivery.js'
import { Sequence } from './eventsequencer.js'
import { Status } from './status.js'

/** A second server is not asked for if less time than this is left, in milliseconds: about one way there and back. */
const LEAST_LEFT_MS = 30

/** How often a place is asked for again because the granted server can't be used any more. */
const GREATEST_REGRANTS = 8

/** When a caller may come back if the scheduler gave no time, in milliseconds. */
const RETRY_AFTER_MS = 500

/** One attempt of a caller, from its arrival to its final answer. It is sent to one server at a time. */
export class Attempt {
  private ticket: Ticket | undefined
  private delivery: Delivery | undefined
  private readonly avoided: string[] = []
  private readonly sequence: Sequence
  private readonly service: string
  private sends = 0
  private regrants = 0
  private isCharged = false
  /** Whether a server may have run the request. */
  private mayHaveRun = false
  /** A server's own failure, for the caller if nothing better comes. */
  private failure: Result | undefined
  private isOver = false

  /**
   * @param context - what it is worked on with
   * @param request - what the caller sent
   * @param answer - goes to the caller
   * @param onOver - called once when it needs no more attention
   */
  constructor (
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    private readonly answer: Answer,
    private readonly onOver: (attempt: Attempt) => void
  ) {
    this.sequence = new Sequence(request.lastEvent)
    this.service = chooseService(request, context.random.next())
  }

  /** Asks for the first place. */
  start (): void {
    this.ask(false)
  }

  /** The caller left: everything is taken back. */
  left (): void {
    if (this.isOver) return
    this.answer.isLeft = true
    this.stop()
    this.log('left', {})
    this.over()
  }

  /**
   * Gives the final answer if the time is up, and looks for a silent server.
   *
   * @param now - steady time, in milliseconds
   */
  tick (now: number): void {
    if (this.isOver) return
    if (now >= this.request.deadlineAt) {
      if (this.delivery?.wasSent === true) this.mayHaveRun = true
      this.stop()
      this.conclude(Status.gatewayTimeout, 'no answer within the time that the route allows')
    } else if (this.delivery?.isSilent(now) === true && this.mayAskAgain()) {
      this.delivery.abort()
      this.lost(this.delivery, Outcome.silent)
    }
  }

  private ask (isRepeat: boolean): void {
    const { request, context } = this
    const { route } = request
    this.delivery = undefined
    this.ticket = context.dispatcher.request({
      service: this.service,
      route: route.name,
      fingerprint: request.fingerprint,
      organisationRank: request.organisation?.rank ?? 0,
      rank: route.rank,
      organisation: request.organisation?.name,
      units: request.units,
      promptTokens: request.promptTokens,
      events: request.expectedTokens / (context.deployment()?.services.get(this.service)?.tokensPerEvent ?? 1),
      arrivedAt: request.arrivedAt,
      lateAt: request.lateAt,
      objectiveMs: route.objectiveMs,
      pauseMs: route.pauseMs,
      deadlineAt: request.deadlineAt,
      dataCentre: context.dataCentre,
      avoided: [...this.avoided],
      isRepeat,
      isCharged: this.isCharged
    }, placement => queueMicrotask(() => this.placed(placement)))
  }

  private placed (placement: Placement): void {
    if (this.isOver) {
      if (placement.kind === 'granted') this.ticket?.ended(Outcome.cancelled)
      return
    }
    if (placement.kind === 'refused') {
      this.refused(placement.reason, placement.retryAfterMs)
      return
    }
    this.isCharged = true
    const server = this.context.fleet.usable(placement.server, this.context.clock.now())
    if (server === undefined) this.regrant(placement.server)
    else this.send(server)
  }

  /** The scheduler does not know yet that the server takes no more work. */
  private regrant (server: string): void {
    this.ticket?.ended(Outcome.cancelled)
    this.avoided.push(server)
    this.regrants++
    if (this.regrants > GREATEST_REGRANTS) this.conclude(Status.unavailable, 'no server takes work')
    else this.ask(false)
  }

  private send (server: BackendServer): void {
    this.log('sent', { server: server.id, send: this.sends + 1 })
    const ticket = this.ticket!
    this.delivery = new Delivery(this.context, this.request, server, this.sequence, this.answer, {
      started: () => ticket.started(),
      ended: (delivery, outcome, result) => this.ended(delivery, outcome, result)
    })
  }

  private ended (delivery: Delivery, outcome: Outcome, result: Result | undefined): void {
    if (this.isOver) return
    if (delivery.wasSent) this.sends++
    if (outcome === Outcome.done) this.done(delivery, result)
    else if (outcome === Outcome.rejected || outcome === Outcome.misdirected || outcome === Outcome.unreachable) {
      this.notRun(delivery, outcome)
    } else if (outcome === Outcome.unsendable) {
      this.ticket?.ended(outcome)
      this.log('unsendable', { reason: delivery.reason })
      this.answer.own(Status.badRequest, 'the request can not be passed on')
      this.over()
    } else if (outcome === Outcome.failed) {
      this.failure = result
      this.lost(delivery, outcome)
    } else {
      this.lost(delivery, outcome)
    }
  }

  private done (delivery: Delivery, result: Result | undefined): void {
    this.ticket?.ended(Outcome.done, delivery.stepMs)
    if (result === undefined) this.answer.end()
    else this.answer.whole(result.status, result.headers, result.body, result.isUnframed)
    this.log('answered', { ...delivery.account, ms: Math.round(this.context.clock.now() - this.request.arrivedAt) })
    this.over()
  }

  private notRun (delivery: Delivery, outcome: Outcome): void {
    this.ticket?.ended(outcome)
    this.log('not-run', { server: delivery.server.id, outcome })
    this.avoided.push(delivery.server.id)
    // A send that never reached a server is no repeat there.
    if (this.mayAskAgain()) this.ask(delivery.wasSent)
    else this.conclude(Status.unavailable, 'the server did not take the request')
  }

  /** The server may have run the request, and there is no whole answer to be had from it. */
  private lost (delivery: Delivery, outcome: Outcome): void {
    this.mayHaveRun = true
    this.ticket?.ended(outcome)
    this.log('lost', { server: delivery.server.id, outcome, reason: delivery.reason })
    this.avoided.push(delivery.server.id)
    this.sequence.rewind()
    if (mayRepeat(this.request.route) && this.mayAskAgain()) this.ask(true)
    else this.conclude(Status.badGateway, 'the server gave no whole answer')
  }

  private mayAskAgain (): boolean {
    if (!mayRepeat(this.request.route) && this.mayHaveRun) return false
    const leftMs = this.request.deadlineAt - this.context.clock.now()
    return this.sends < this.request.route.attempts && leftMs > LEAST_LEFT_MS
  }

  private refused (reason: Refusal, retryAfterMs: number): void {
    this.log('refused', { reason, retryAfterMs })
    if (reason === Refusal.allowance && !this.mayHaveRun) {
      this.answer.own(Status.tooManyRequests, 'the allowance is used up', retryAfterMs)
      this.over()
    } else {
      this.conclude(Status.unavailable, `no place: ${reason}`, retryAfterMs)
    }
  }

  /** Gives the final answer when there is none of a server: a status that promises "not run" only if that is true. */
  private conclude (status: number, reason: string, retryAfterMs = RETRY_AFTER_MS): void {
    const { answer, failure } = this
    if (answer.isBegun) answer.cut()
    else if (failure !== undefined) answer.whole(failure.status, failure.headers, failure.body, failure.isUnframed)
    else if (!this.mayHaveRun) answer.own(Status.unavailable, reason, retryAfterMs)
    else answer.own(status === Status.unavailable ? Status.badGateway : status, reason)
    this.log('gave-up', { status, reason })
    this.over()
  }

  private stop (): void {
    if (this.delivery !== undefined) {
      this.delivery.abort()
      this.ticket?.ended(Outcome.cancelled)
    } else {
      this.ticket?.withdraw()
    }
  }

  private over (): void {
    this.isOver = true
    this.onOver(this)
  }

  private log (event: string, fields: Record<string, unknown>): void {
    this.context.log.debug({ event, attempt: this.request.attempt, route: this.request.route.name, ...fields }, event)
  }
}

/** Picks one of the route's services by their weights. */
function chooseService (request: CallerRequest, drawn: number): string {
  const { targets } = request.route
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let left = drawn * total
  for (const target of targets) {
    left -= target.weight
    if (left < 0) return target.service
  }
  return targets[targets.length - 1]?.service ?? ''
}
