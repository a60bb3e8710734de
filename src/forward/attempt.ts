import type { JobHandle, Placement } from '../dispatch/index.js'
import type { BackendServer } from '../fleet/index.js'
import { chooseService } from '../routing/index.js'
import { Outcome, Refusal, SUCCESSES } from '../schedule/index.js'
import type { BufferedResponse } from './bufferedresponse.js'
import type { CallerRequest } from './callerrequest.js'
import type { CallerResponse } from './callerresponse.js'
import type { ForwardContext } from './context.js'
import { Delivery } from './delivery.js'
import { EventSequencer } from './eventsequencer.js'
import { FailedResponse } from './failedresponse.js'
import { recordStatement } from './recordstatement.js'
import { reportFault } from './reportfault.js'
import { SendLimit } from './sendlimit.js'
import { Slots } from './slots.js'
import { Status } from './status.js'
import { isServerGone } from './servergone.js'
import { STOPPING } from './stopping.js'
import type { Transport } from './transport.js'
import { TransportChoice } from './transportchoice.js'

/** One attempt of a caller, from its arrival to its final response. It is sent to one server at a time. */
export class Attempt {
  private readonly slots: Slots
  private delivery: Delivery | undefined
  /** The latest delivery that gave no usable response, for the log. */
  private lostDelivery: Delivery | undefined
  private readonly sequencer: EventSequencer
  private readonly sendLimit: SendLimit
  private readonly transportChoice: TransportChoice
  private readonly failedResponse: FailedResponse
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
    this.sendLimit = new SendLimit(request, context.clock)
    this.transportChoice = new TransportChoice(context.paths)
    this.slots = new Slots(context, request, chooseService(request.route, context.random.next()), {
      onPlacement: placement => this.handlePlacement(placement),
      onAlternative: (server, job) => this.leaveSilentServer(server, job),
      onError: () => this.abandon()
    })
    this.failedResponse = new FailedResponse(context, request, response)
  }

  /** Requests the first slot, unless the request had to give way before. */
  start (): void {
    if (!this.isFinished) this.requestSlot(false)
  }

  /** Cancels the attempt because the caller disconnected. */
  handleDisconnect (): void {
    if (this.isFinished) return
    this.response.hasCallerDisconnected = true
    this.cancel()
    this.log('left', {})
    this.finish()
  }

  /** Ends the attempt after a step of it failed unexpectedly; it may have been sent by then. */
  abandon (): void {
    this.failedResponse.mayHaveRun = true
    this.giveUp(Status.badGateway, 'the request could not be handled')
  }

  /**
   * Fails the attempt if its deadline has passed, and looks for another server if its server is silent.
   *
   * @param now - monotonic time, in milliseconds
   */
  tick (now: number): void {
    if (this.isFinished) return
    this.delivery?.tick(now)
    if (now >= this.request.deadlineAt) this.giveUp(Status.gatewayTimeout, 'no answer within the time of the route')
    else if (this.isWaiting && !this.context.maySend()) this.giveUp(Status.unavailable, STOPPING, 0)
    else if (this.delivery?.isSilent(now) === true) this.handleSilence(this.delivery, now)
    else this.slots.tick(now)
  }

  /** Whether the request was not sent to a server. */
  get isWaiting (): boolean {
    return this.delivery === undefined && !this.failedResponse.mayHaveRun
  }

  /**
   * Ends the attempt with its final response.
   *
   * @param status - the HTTP status, which is replaced by another one if a server may have run the request
   * @param reason - a short explanation
   * @param retryAfterMs - time after which the caller may retry if the request did not run, in milliseconds
   */
  giveUp (status: number, reason: string, retryAfterMs?: number): void {
    if (this.isFinished) return
    this.cancel()
    if (this.delivery?.wasSent === true) this.failedResponse.mayHaveRun = true
    this.fail(status, reason, retryAfterMs)
  }

  /**
   * A silent server may be sound, so its response is awaited until another server is granted. The response ends earlier
   * only if the server is no longer listed.
   */
  private handleSilence (delivery: Delivery, now: number): void {
    if (delivery.exchange.isPathSound) this.slots.job?.reportSilent()
    if (isServerGone(delivery, this.context.fleet, now)) this.handleLost(delivery, Outcome.silent)
    else if (this.sendLimit.canRepeat()) this.slots.requestAlternative(delivery.server.id, now)
  }

  /** @returns whether the request is sent to another server, which is so if it is usable and the first still silent */
  private leaveSilentServer (serverId: string, job: JobHandle): boolean {
    const now = this.context.clock.now()
    const server = this.context.fleet.findUsable(serverId, now)
    const { delivery } = this
    if (server === undefined || delivery?.isSilent(now) !== true) return false
    this.recordLost(delivery, Outcome.silent)
    this.send(server, job, this.context.paths.choose())
    return true
  }

  private requestSlot (isRetry: boolean): void {
    this.delivery = undefined
    if (this.isWaiting && !this.context.maySend()) this.giveUp(Status.unavailable, STOPPING, 0)
    else this.slots.requestSlot(isRetry)
  }

  private handlePlacement (placement: Placement): void {
    if (placement.kind === 'refused') return this.handleRefusal(placement.reason, placement.retryAfterMs)
    const server = this.context.fleet.findUsable(placement.server, this.context.clock.now())
    if (server === undefined) this.requestOtherSlot(placement.server)
    else this.send(server, this.slots.job!, this.context.paths.choose())
  }

  /** Returns a slot whose server is unusable, which the scheduler does not know yet, and requests another slot. */
  private requestOtherSlot (unusableServer: string): void {
    if (this.slots.release(unusableServer)) this.requestSlot(false)
    else this.fail(Status.unavailable, 'no server takes work')
  }

  private send (server: BackendServer, job: JobHandle, transport: Transport): void {
    this.log('sent', { server: server.id, send: this.sendLimit.sent + 1, ...transport.logFields })
    this.delivery = new Delivery(this.context, this.request, server, transport, this.sequencer, this.response, {
      onSent: () => this.sendLimit.recordSend(),
      onStatement: statement => recordStatement(this.context, job, server, statement),
      onStarted: () => job.reportStarted(),
      onEnded: (delivery, outcome, result) => this.handleDeliveryEnd(delivery, outcome, result)
    })
  }

  private handleDeliveryEnd (delivery: Delivery, outcome: Outcome, result: BufferedResponse | undefined): void {
    if (this.isFinished) return
    const isUsable = result === undefined || !this.response.isStarted
    if (SUCCESSES.has(outcome) && isUsable) this.complete(delivery, outcome, result)
    else if (outcome === Outcome.rejected || outcome === Outcome.misdirected) this.handleNotRun(delivery, outcome)
    else if (outcome === Outcome.unreachable) void this.handleUnreachable(delivery)
    else if (outcome === Outcome.cancelled) this.requestOtherSlot(delivery.server.id)
    else if (outcome === Outcome.unsendable) {
      this.slots.job?.reportEnded(outcome)
      this.log('unsendable', { reason: delivery.failureReason })
      this.fail(Status.badRequest, 'the request can not be passed on')
    } else this.handleLost(delivery, outcome, result)
  }

  private complete (delivery: Delivery, outcome: Outcome, result: BufferedResponse | undefined): void {
    this.slots.job?.reportEnded(outcome, delivery.stepMs)
    if (result === undefined) this.response.end()
    else this.response.send(result.status, result.headers, result.body, result.isCloseDelimited)
    this.log('answered', { ...delivery.logFields, ms: Math.round(this.context.clock.now() - this.request.arrivedAt) })
    this.finish()
  }

  /** If this host's path to the server failed, the request is sent on another one with the same slot. */
  private async handleUnreachable (delivery: Delivery): Promise<void> {
    const transport = await this.transportChoice.chooseOther(delivery)
    if (this.isFinished || this.delivery !== delivery) return
    const server = this.context.fleet.findUsable(delivery.server.id, this.context.clock.now())
    if (transport === undefined) this.handleNotRun(delivery, Outcome.unreachable)
    else if (server === undefined) this.requestOtherSlot(delivery.server.id)
    else this.send(server, this.slots.job!, transport)
  }

  private handleNotRun (delivery: Delivery, outcome: Outcome): void {
    this.slots.job?.reportEnded(outcome)
    this.log('not-run', { server: delivery.server.id, outcome })
    this.slots.excludedServers.push(delivery.server.id)
    // If nothing was sent, the next send does not draw on the retry budget.
    if (this.sendLimit.canRetry(this.failedResponse.mayHaveRun)) this.requestSlot(delivery.wasSent)
    else this.fail(Status.unavailable, 'the server did not take the request')
  }

  /** Handles a delivery without a usable response whose server may have run the request. */
  private handleLost (delivery: Delivery, outcome: Outcome, result?: BufferedResponse): void {
    if (outcome === Outcome.failed) this.failedResponse.serverFailure = result
    this.recordLost(delivery, outcome)
    if (this.sendLimit.canRepeat()) this.requestSlot(true)
    else this.fail(Status.badGateway, 'the server gave no whole answer')
  }

  private recordLost (delivery: Delivery, outcome: Outcome): void {
    delivery.abort()
    this.failedResponse.mayHaveRun = true
    this.lostDelivery = delivery
    reportFault(this.slots.job, delivery, outcome)
    const silentMs = Math.round(delivery.silenceMs(this.context.clock.now()))
    const { sharedPromptParts: parts } = this.request
    this.log('lost', { server: delivery.server.id, outcome, reason: delivery.failureReason, silentMs, parts })
    this.slots.excludedServers.push(delivery.server.id)
    this.sequencer.discardPartialEvent()
  }

  private handleRefusal (reason: Refusal, retryAfterMs: number): void {
    this.log('refused', { reason, retryAfterMs })
    if (this.response.isStarted && reason !== Refusal.crashes && this.sendLimit.canRepeat()) {
      this.slots.requestSlotLater(this.context.clock.now())
    } else if (reason === Refusal.quota) this.fail(Status.tooManyRequests, 'the allowance is used up', retryAfterMs)
    else this.fail(Status.unavailable, `no place: ${reason}`, retryAfterMs)
  }

  /** Finishes the attempt without a successful response from a server. */
  private fail (status: number, reason: string, retryAfterMs?: number): void {
    this.failedResponse.send(status, reason, this.delivery ?? this.lostDelivery, retryAfterMs)
    this.log('gave-up', { status, reason })
    this.finish()
  }

  private cancel (): void {
    this.delivery?.abort()
    if (this.delivery !== undefined) this.slots.job?.reportEnded(Outcome.cancelled)
  }

  private finish (): void {
    this.isFinished = true
    this.slots.close()
    this.onFinished(this)
  }

  private log (event: string, fields: Record<string, unknown>): void {
    this.context.log.debug({ event, attempt: this.request.attemptId, route: this.request.route.name, ...fields }, event)
  }
}
