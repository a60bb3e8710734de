import type { JobHandle, Placement } from '../dispatch/index.js'
import type { BackendServer } from '../fleet/index.js'
import { mayRetryAfterExecution } from '../routing/index.js'
import { Outcome, Refusal, SUCCESSES } from '../schedule/index.js'
import type { CallerRequest } from './callerrequest.js'
import type { CallerResponse } from './callerresponse.js'
import type { ForwardContext } from './context.js'
import { type BufferedResponse, Delivery } from './delivery.js'
import { EventSequencer } from './eventsequencer.js'
import { Status } from './status.js'

/** Least time before the deadline at which a request is retried, in milliseconds: about one round trip. */
const MIN_RETRY_TIME_MS = 30

/** How many further slots an attempt requests because the granted server is no longer usable. */
const MAX_REGRANTS = 8

/** Retry-After of failed attempts for which the scheduler gave no time, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 500

/** One attempt of a caller, from its arrival to its final response. It is sent to one server at a time. */
export class Attempt {
  private job: JobHandle | undefined
  private delivery: Delivery | undefined
  private readonly excludedServers: string[] = []
  private readonly sequencer: EventSequencer
  private readonly service: string
  private sendCount = 0
  private regrantCount = 0
  /** Whether the request was charged to the organisation's quota already. */
  private isCharged = false
  /** Whether a server may have run the request. */
  private mayHaveRun = false
  /** A server's own error response, for the caller if no retry succeeds. */
  private serverFailure: BufferedResponse | undefined
  private isFinished = false

  /**
   * @param context - what the attempt depends on
   * @param request - the caller's request
   * @param response - the response to the caller
   * @param onFinished - called once when the attempt is finished
   */
  constructor (
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    private readonly response: CallerResponse,
    private readonly onFinished: (attempt: Attempt) => void
  ) {
    this.sequencer = new EventSequencer(request.lastEventId)
    this.service = chooseService(request, context.random.next())
  }

  /** Requests the first slot. */
  start (): void {
    this.requestSlot(false)
  }

  /** Cancels the attempt because the caller disconnected. */
  handleDisconnect (): void {
    if (this.isFinished) return
    this.response.hasCallerDisconnected = true
    this.cancel()
    this.log('left', {})
    this.finish()
  }

  /**
   * Fails the attempt if its deadline has passed, and retries it if its server is silent.
   *
   * @param now - monotonic time, in milliseconds
   */
  tick (now: number): void {
    if (this.isFinished) return
    if (now >= this.request.deadlineAt) {
      if (this.delivery?.wasSent === true) this.mayHaveRun = true
      this.cancel()
      this.fail(Status.gatewayTimeout, 'no answer within the time that the route allows')
    } else if (this.delivery?.isSilent(now) === true && this.canRetry()) {
      this.delivery.abort()
      this.handleLost(this.delivery, Outcome.silent)
    }
  }

  private requestSlot (isRetry: boolean): void {
    const { context, request, request: { route } } = this
    this.delivery = undefined
    this.job = context.dispatcher.request({
      service: this.service,
      route: route.name,
      fingerprint: request.fingerprint,
      sharedPromptParts: request.sharedPromptParts,
      organisationRank: request.organisation?.rank ?? 0,
      rank: route.rank,
      organisation: request.organisation?.name,
      units: request.units,
      promptTokens: request.promptTokens,
      expectedEvents: request.expectedTokens / (context.deployment()?.services.get(this.service)?.tokensPerEvent ?? 1),
      arrivedAt: request.arrivedAt,
      objectiveAt: request.objectiveAt,
      objectiveMs: route.objectiveMs,
      maxEventGapMs: route.maxEventGapMs,
      deadlineAt: request.deadlineAt,
      dataCentre: context.dataCentre,
      excludedServers: [...this.excludedServers],
      isRetry,
      isCharged: this.isCharged
    }, placement => queueMicrotask(() => this.handlePlacement(placement)))
  }

  private handlePlacement (placement: Placement): void {
    if (this.isFinished) {
      if (placement.kind === 'granted') this.job?.reportEnded(Outcome.cancelled)
      return
    }
    if (placement.kind === 'refused') {
      this.handleRefusal(placement.reason, placement.retryAfterMs)
      return
    }
    this.isCharged = true
    const server = this.context.fleet.findUsable(placement.server, this.context.clock.now())
    if (server === undefined) this.requestOtherSlot(placement.server)
    else this.send(server)
  }

  /** Returns a slot whose server is unusable, which the scheduler does not know yet, and requests another slot. */
  private requestOtherSlot (unusableServer: string): void {
    this.job?.reportEnded(Outcome.cancelled)
    this.excludedServers.push(unusableServer)
    this.regrantCount++
    if (this.regrantCount > MAX_REGRANTS) this.fail(Status.unavailable, 'no server takes work')
    else this.requestSlot(false)
  }

  private send (server: BackendServer): void {
    this.log('sent', { server: server.id, send: this.sendCount + 1 })
    const job = this.job!
    this.delivery = new Delivery(this.context, this.request, server, this.sequencer, this.response, {
      onStarted: () => job.reportStarted(),
      onEnded: (delivery, outcome, result) => this.handleDeliveryEnd(delivery, outcome, result)
    })
  }

  private handleDeliveryEnd (delivery: Delivery, outcome: Outcome, result: BufferedResponse | undefined): void {
    if (this.isFinished) return
    if (delivery.wasSent) this.sendCount++
    if (SUCCESSES.has(outcome)) this.complete(delivery, outcome, result)
    else if (outcome === Outcome.rejected || outcome === Outcome.misdirected || outcome === Outcome.unreachable) {
      this.handleNotRun(delivery, outcome)
    } else if (outcome === Outcome.unsendable) {
      this.job?.reportEnded(outcome)
      this.log('unsendable', { reason: delivery.failureReason })
      this.response.sendText(Status.badRequest, 'the request can not be passed on')
      this.finish()
    } else if (outcome === Outcome.failed) {
      this.serverFailure = result
      this.handleLost(delivery, outcome)
    } else {
      this.handleLost(delivery, outcome)
    }
  }

  private complete (delivery: Delivery, outcome: Outcome, result: BufferedResponse | undefined): void {
    this.job?.reportEnded(outcome, delivery.stepMs)
    if (result === undefined) this.response.end()
    else this.response.send(result.status, result.headers, result.body, result.isCloseDelimited)
    this.log('answered', { ...delivery.logFields, ms: Math.round(this.context.clock.now() - this.request.arrivedAt) })
    this.finish()
  }

  private handleNotRun (delivery: Delivery, outcome: Outcome): void {
    this.job?.reportEnded(outcome)
    this.log('not-run', { server: delivery.server.id, outcome })
    this.excludedServers.push(delivery.server.id)
    // If nothing was sent, the next send does not draw on the retry budget.
    if (this.canRetry()) this.requestSlot(delivery.wasSent)
    else this.fail(Status.unavailable, 'the server did not take the request')
  }

  /** Handles a delivery without a usable response whose server may have run the request. */
  private handleLost (delivery: Delivery, outcome: Outcome): void {
    this.mayHaveRun = true
    this.job?.reportEnded(outcome)
    const { sharedPromptParts: parts } = this.request
    this.log('lost', { server: delivery.server.id, outcome, reason: delivery.failureReason, parts })
    this.excludedServers.push(delivery.server.id)
    this.sequencer.discardPartialEvent()
    if (mayRetryAfterExecution(this.request.route) && this.canRetry()) this.requestSlot(true)
    else this.fail(Status.badGateway, 'the server gave no whole answer')
  }

  private canRetry (): boolean {
    if (!mayRetryAfterExecution(this.request.route) && this.mayHaveRun) return false
    const remainingMs = this.request.deadlineAt - this.context.clock.now()
    return this.sendCount < this.request.route.maxAttempts && remainingMs > MIN_RETRY_TIME_MS
  }

  private handleRefusal (reason: Refusal, retryAfterMs: number): void {
    this.log('refused', { reason, retryAfterMs })
    if (reason === Refusal.quota && !this.mayHaveRun) {
      this.response.sendText(Status.tooManyRequests, 'the allowance is used up', retryAfterMs)
      this.finish()
    } else {
      this.fail(Status.unavailable, `no place: ${reason}`, retryAfterMs)
    }
  }

  /**
   * Finishes the attempt without a successful response from a server. Callers take status 503 to mean that the request
   * did not run, so it is sent only if that is certain.
   */
  private fail (status: number, reason: string, retryAfterMs = DEFAULT_RETRY_AFTER_MS): void {
    const { response, serverFailure: result } = this
    if (response.isStarted) response.destroy()
    else if (result !== undefined) response.send(result.status, result.headers, result.body, result.isCloseDelimited)
    else if (!this.mayHaveRun) response.sendText(Status.unavailable, reason, retryAfterMs)
    else response.sendText(status === Status.unavailable ? Status.badGateway : status, reason)
    this.log('gave-up', { status, reason })
    this.finish()
  }

  private cancel (): void {
    if (this.delivery !== undefined) {
      this.delivery.abort()
      this.job?.reportEnded(Outcome.cancelled)
    } else {
      this.job?.withdraw()
    }
  }

  private finish (): void {
    this.isFinished = true
    this.onFinished(this)
  }

  private log (event: string, fields: Record<string, unknown>): void {
    this.context.log.debug({ event, attempt: this.request.attemptId, route: this.request.route.name, ...fields }, event)
  }
}

/** Chooses one of the route's services by weight; `random` is from 0 up to but not including 1. */
function chooseService (request: CallerRequest, random: number): string {
  const { targets } = request.route
  let remaining = random * targets.reduce((sum, target) => sum + target.weight, 0)
  for (const target of targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return targets[targets.length - 1]?.service ?? ''
}
