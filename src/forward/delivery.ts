import type { BackendServer } from '../fleet/index.js'
import { RetrySafety } from '../routing/index.js'
import { Outcome } from '../schedule/index.js'
import { BodyBuffer } from './bodybuffer.js'
import type { BufferOwner } from './bufferbudget.js'
import type { CallerRequest } from './callerrequest.js'
import type { CallerResponse } from './callerresponse.js'
import type { ForwardContext } from './context.js'
import type { DeliveryListener } from './deliverylistener.js'
import type { EventSequencer } from './eventsequencer.js'
import type { Exchange, ResponseHandler } from './exchange.js'
import { findHeadFault } from './headfault.js'
import { endToEndHeaders, isCloseDelimited, type RawHeaders, statedBodyLength } from './headers.js'
import { findMissingBody, findMissingEvents, findRestart } from './missingpart.js'
import { buildOutgoingRequest } from './outgoingrequest.js'
import { ReceiveLimit } from './receivelimit.js'
import { classifyResponse } from './responseoutcome.js'
import { ResponseTimes } from './responsetimes.js'
import { readServerStatement } from './serverstatement.js'
import { isSuccess, Status } from './status.js'
import type { Transport } from './transport.js'
import { YieldWeight } from './yieldweight.js'

/** Least time without data after which a server is silent, in milliseconds; twice the latency objective if longer. */
const MIN_SILENCE_MS = 1_000

/** Headers of responses that are not copied because the scheduler sets them itself. */
const REWRITTEN_HEADERS: ReadonlySet<string> = new Set(['content-length'])

/** One send of a caller's request to one server. */
export class Delivery implements ResponseHandler, BufferOwner {
  /** Whether the server may have received the request. */
  wasSent = false
  /** Why there is no complete response; empty if there is one. */
  failureReason = ''
  readonly exchange: Exchange
  private readonly times: ResponseTimes
  private status = 0
  private headers: RawHeaders = []
  private isCloseDelimited = false
  private readonly body = new BodyBuffer()
  private readonly receiveLimit = new ReceiveLimit()
  private isStreaming = false
  /** Whether reading is paused until the caller has read what was forwarded. */
  private isWaitingForCaller = false
  private isFinished = false
  readonly yieldWeight = YieldWeight.response

  /**
   * Sends a request to a server.
   *
   * @param context - what the delivery depends on
   * @param request - the caller's request
   * @param server - the server to send it to
   * @param transport - how to send it
   * @param sequencer - selects the events to forward
   * @param response - the response to the caller, which receives the events of a stream
   * @param listener - receives the progress
   */
  constructor (
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    readonly server: BackendServer,
    readonly transport: Transport,
    private readonly sequencer: EventSequencer,
    private readonly response: CallerResponse,
    private readonly listener: DeliveryListener
  ) {
    this.times = new ResponseTimes(context.clock.now())
    const { headerNames } = context
    const outgoing = buildOutgoingRequest(headerNames, request, server, sequencer.lastEventId, this.times.sentAt)
    this.exchange = transport.send(server, outgoing, this)
  }

  /** Mean time between a stream's events, or duration of a request that is not streamed; in milliseconds, if known. */
  get stepMs (): number | undefined {
    return this.isStreaming ? this.times.meanEventGapMs : this.times.durationMs
  }

  /** Fields that describe the delivery in the log; times in milliseconds. */
  get logFields (): Readonly<Record<string, unknown>> {
    return {
      server: this.server.id,
      waitedMs: Math.round(this.times.sentAt - this.request.arrivedAt),
      ...this.times.logFields,
      end: this.isCloseDelimited ? 'connection' : 'stated',
      tokens: this.request.promptTokens,
      expectedTokens: this.request.expectedTokens
    }
  }

  /** Aborts the delivery; the listener is not called any more. */
  abort (): void {
    this.finish()
    this.exchange.abort()
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns whether the server has sent nothing for so long that the request is to be abandoned there
   */
  isSilent (now: number): boolean {
    return this.silenceMs(now) > Math.max(MIN_SILENCE_MS, 2 * this.request.route.objectiveMs)
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns time since the latest event, or since the request was sent if there was none; 0 while the stream waits
   *   for its caller; in milliseconds
   */
  silenceMs (now: number): number {
    return this.isWaitingForCaller ? 0 : now - this.times.lastReceivedAt
  }

  /**
   * Checks the path while the server is silent.
   *
   * @param now - monotonic time, in milliseconds
   */
  tick (now: number): void {
    this.exchange.handleSilence(this.silenceMs(now))
  }

  onSent (): void {
    this.wasSent = true
    this.listener.onSent()
  }

  onReading (bytes: number): void {
    if (this.isFinished) return
    const excess = this.receiveLimit.checkOverhead(bytes)
    if (excess !== undefined) this.abortAsBroken(excess)
  }

  onHead (status: number, headers: RawHeaders): void {
    if (this.isFinished) return
    const { request, context: { headerNames } } = this
    const fault = findHeadFault(request, status, headers, headerNames)
    if (fault !== undefined) return this.abortAsBroken(fault)
    // The server at this address is another one.
    if (status !== Status.misdirected) this.listener.onStatement(readServerStatement(status, headers, headerNames))
    this.status = status
    this.headers = endToEndHeaders(headers, REWRITTEN_HEADERS)
    this.isCloseDelimited = isCloseDelimited(request.method, status, headers)
    this.isStreaming = request.route.retrySafety === RetrySafety.stream && isSuccess(status)
    const bodyLength = statedBodyLength(request.method, status, headers)
    const excess = this.receiveLimit.recordHead(this.isStreaming, bodyLength)
    if (excess !== undefined) this.abortAsBroken(excess)
    else if (!this.isStreaming) this.recordArrival()
    else if (!this.response.canContinueWith(headers)) this.abortAsBroken('the response is no part of the stream')
  }

  onBody (bytes: Buffer): boolean {
    if (this.isFinished) return true
    const excess = this.receiveLimit.recordBody(bytes.length)
    if (excess !== undefined) this.abortAsBroken(excess)
    else if (this.isStreaming) return this.forwardEvents(bytes)
    else {
      this.body.append(bytes)
      this.context.bufferBudget.set(this, this.body.capacity, bytes.length)
    }
    return true
  }

  onEnd (): void {
    if (this.isFinished) return
    const missing = this.isStreaming
      ? findMissingEvents(this.sequencer, this.isCloseDelimited)
      : findMissingBody(this.status, this.body.capacity, this.isCloseDelimited)
    const fault = missing ?? findRestart(this.context.fleet, this.server, this.isCloseDelimited)
    if (fault === undefined) this.complete()
    else this.abortAsBroken(fault)
  }

  private complete (): void {
    this.finish()
    this.exchange.release()
    if (this.isStreaming) {
      this.response.start(this.status, this.headers)
      this.listener.onEnded(this, this.isCloseDelimited ? Outcome.ended : Outcome.done, undefined)
    } else {
      this.times.lastReceivedAt = this.context.clock.now()
      const { status, headers, isCloseDelimited } = this
      const outcome = classifyResponse(status, headers, this.context.headerNames)
      this.listener.onEnded(this, outcome, { status, headers, isCloseDelimited, body: this.body.toBuffer() })
    }
  }

  onFailure (error: Error): void {
    if (!this.isFinished) this.fail(this.wasSent ? Outcome.broken : Outcome.unreachable, error.message)
  }

  onUnusable (): void {
    if (!this.isFinished) this.fail(Outcome.cancelled, 'the host that relays may not use the server')
  }

  onUnsendable (error: Error): void {
    if (!this.isFinished) this.fail(Outcome.unsendable, error.message)
  }

  onBufferExhausted (): void {
    this.abortAsBroken('no memory for the response')
  }

  /** @returns whether to continue reading at once */
  private forwardEvents (bytes: Buffer): boolean {
    const { events, isValid } = this.sequencer.push(bytes)
    let canContinue = true
    for (const event of events) if (event.isProgress) this.recordArrival()
    if (events.length > 0) {
      this.response.start(this.status, this.headers)
      canContinue = this.response.write(Buffer.concat(events.map(event => event.bytes)))
    }
    if (!isValid) this.abortAsBroken('an event is missing or too long')
    else this.context.bufferBudget.set(this, this.sequencer.bufferedBytes)
    if (!canContinue && !this.isFinished && !this.isWaitingForCaller) this.waitForCaller()
    return canContinue
  }

  private waitForCaller (): void {
    this.isWaitingForCaller = true
    this.response.onDrain(() => {
      this.isWaitingForCaller = false
      this.times.lastReceivedAt = this.context.clock.now()
      this.exchange.resume()
    })
  }

  /** Records the time of an event, or of the headers of a response that is not streamed. */
  private recordArrival (): void {
    this.receiveLimit.recordEvent()
    if (this.times.recordArrival(this.context.clock.now())) this.listener.onStarted()
  }

  private finish (): void {
    this.isFinished = true
    this.context.bufferBudget.set(this, 0)
  }

  private abortAsBroken (reason: string): void {
    this.fail(Outcome.broken, reason)
  }

  private fail (outcome: Outcome, reason: string): void {
    this.finish()
    this.failureReason = reason
    this.exchange.abort()
    this.listener.onEnded(this, outcome, undefined)
  }
}
