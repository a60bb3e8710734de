import type { BackendServer } from '../fleet/index.js'
import {
  type BufferOwner, type Exchange, type OutgoingRequest, type RawHeaders, readServerStatement, ReceiveLimit,
  recordForHost, REQUEST_BYTES, type ResponseHandler, Status, YieldWeight
} from '../forward/index.js'
import type { RelayContext } from './context.js'
import { EventQueue } from './eventqueue.js'
import { encodeHeaders } from './messages.js'
import { NotSentReason } from './notsentreason.js'

/** A request that this host sends to a server for another host. */
export class RelayedRequest implements ResponseHandler, BufferOwner {
  /** The progress, for the other host. */
  readonly events = new EventQueue(queuedBytes => this.handleRead(queuedBytes))
  private readonly exchange: Exchange
  private readonly receiveLimit = new ReceiveLimit()
  private readonly requestBytes: number
  private wasSent = false
  private isPaused = false
  private isFinished = false
  readonly yieldWeight = YieldWeight.response

  /**
   * Sends the request.
   *
   * @param context - what the relaying depends on
   * @param server - the server
   * @param request - the request
   */
  constructor (
    private readonly context: RelayContext, private readonly server: BackendServer, request: OutgoingRequest
  ) {
    this.requestBytes = REQUEST_BYTES + (request.body?.length ?? 0)
    this.exchange = context.transport.send(server, request, this)
    context.bufferBudget.set(this, this.requestBytes)
  }

  /** Aborts the request at its server if its response is not complete. */
  abort (): void {
    if (this.isFinished) return
    this.finish()
    this.exchange.abort()
  }

  onSent (): void {
    this.wasSent = true
    if (!this.isFinished) this.events.push({ body: { case: 'sent', value: {} } })
  }

  onReading (bytes: number): void {
    const excess = this.receiveLimit.checkOverhead(bytes)
    if (excess !== undefined) this.fail(excess)
  }

  onHead (status: number, headers: RawHeaders): void {
    if (this.isFinished) return
    const { context, server } = this
    // The server at this address is another one.
    if (status !== Status.misdirected) {
      const statement = readServerStatement(status, headers, context.headerNames)
      recordForHost(context, server, statement, context.clock.now())
    }
    this.events.push({ body: { case: 'head', value: { status, headers: encodeHeaders(headers) } } })
  }

  onBody (bytes: Buffer): boolean {
    if (this.isFinished) return true
    // The host that has the request limits the length of the body.
    this.receiveLimit.recordBody(bytes.length)
    this.events.push({ body: { case: 'data', value: bytes } }, bytes.length)
    this.context.bufferBudget.set(this, this.requestBytes + this.events.bytes)
    this.isPaused = this.events.isFull
    return !this.isPaused
  }

  onEnd (): void {
    if (this.isFinished) return
    this.exchange.release()
    this.events.push({ body: { case: 'end', value: {} } })
    this.finish()
  }

  onFailure (error: Error): void {
    if (this.isFinished) return
    if (this.wasSent) this.fail(error.message)
    else void this.reportUnreachable()
  }

  onUnusable (): void {
    this.reportNotSent(NotSentReason.unusable)
  }

  onUnsendable (): void {
    this.reportNotSent(NotSentReason.unsendable)
  }

  onBufferExhausted (): void {
    this.fail('no memory for the response')
  }

  private async reportUnreachable (): Promise<void> {
    const isPathSound = await this.exchange.verifyPath()
    this.reportNotSent(isPathSound ? NotSentReason.unreachable : NotSentReason.noPath)
  }

  private reportNotSent (reason: NotSentReason): void {
    if (this.isFinished) return
    this.events.push({ body: { case: 'notSent', value: { reason } } })
    this.finish()
  }

  private fail (reason: string): void {
    if (this.isFinished) return
    this.events.push({ body: { case: 'failed', value: { reason } } })
    this.finish()
    this.exchange.abort()
  }

  private handleRead (queuedBytes: number): void {
    if (this.isFinished) return
    this.context.bufferBudget.set(this, this.requestBytes + queuedBytes)
    if (!this.isPaused || this.events.isFull) return
    this.isPaused = false
    this.exchange.resume()
  }

  private finish (): void {
    this.isFinished = true
    this.context.bufferBudget.set(this, 0)
    this.events.close()
  }
}
