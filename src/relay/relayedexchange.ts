import type { Exchange, ResponseHandler } from '../forward/index.js'
import { decodeHeaders } from './messages.js'
import { NotSentReason } from './notsentreason.js'
import type { SendEvent } from './relay_pb.js'

/** What a {@link RelayedExchange} depends on. */
export interface RelayConnection {
  /** Whether the host that relays replies and can reach servers, as far as known. */
  readonly isUsable: boolean
  /** Records that the host that relays does not reply or cannot reach servers. */
  recordFailure (): void
  /** Called once when the exchange no longer uses the host that relays. */
  onFinished (): void
}

/** One request that another host sends to a server, and its response. */
export class RelayedExchange implements Exchange {
  private readonly abortion = new AbortController()
  private isPathFailed = false
  private wasSent = false
  private isDone = false
  private isPaused = false
  private continueReading: (() => void) | undefined

  /**
   * @param connection - the host that relays
   * @param openCall - sends the request to it; the signal aborts the call
   * @param handler - receives the response
   */
  constructor (
    private readonly connection: RelayConnection,
    openCall: (signal: AbortSignal) => AsyncIterable<SendEvent>,
    private readonly handler: ResponseHandler
  ) {
    void this.receive(openCall(this.abortion.signal))
  }

  get isPathSound (): boolean {
    return !this.isPathFailed && this.connection.isUsable
  }

  verifyPath (): Promise<boolean> {
    return Promise.resolve(this.isPathSound)
  }

  handleSilence (): void {
    // The hosts that relay are checked at intervals.
  }

  abort (): void {
    if (this.isDone) return
    // The other host may have sent the request already.
    this.recordSent()
    this.finish()
    this.abortion.abort()
  }

  resume (): void {
    this.isPaused = false
    this.continueReading?.()
  }

  release (): void {
    // The connection belongs to the host that relays.
  }

  private async receive (events: AsyncIterable<SendEvent>): Promise<void> {
    try {
      for await (const { body } of events) {
        if (this.isDone) return
        this.handleEvent(body)
        if (this.isPaused) await new Promise<void>(resolve => { this.continueReading = resolve })
      }
      this.handleLostConnection(new Error('the host that relays closed the connection'))
    } catch (thrown) {
      this.handleLostConnection(new Error('the connection to the host that relays failed', { cause: thrown }))
    }
  }

  private handleEvent (body: SendEvent['body']): void {
    if (body.case === 'sent') this.recordSent()
    else if (body.case === 'notSent') this.handleNotSent(body.value.reason)
    else if (body.case === 'head') this.handler.onHead(body.value.status, decodeHeaders(body.value.headers))
    else if (body.case === 'data') this.isPaused = !this.handler.onBody(Buffer.from(body.value))
    else if (body.case === 'end') {
      this.finish()
      this.handler.onEnd()
    } else if (body.case === 'failed') {
      this.finish()
      this.handler.onFailure(new Error(body.value.reason))
    }
  }

  private handleNotSent (reason: string): void {
    this.finish()
    if (reason === NotSentReason.unusable) this.handler.onUnusable()
    else if (reason === NotSentReason.unsendable) this.handler.onUnsendable(new Error('the request is invalid'))
    else {
      if (reason === NotSentReason.noPath) this.failPath()
      this.handler.onFailure(new Error(`the host that relays did not send the request: ${reason}`))
    }
  }

  private handleLostConnection (error: Error): void {
    if (this.isDone) return
    this.recordSent()
    this.finish()
    this.failPath()
    this.handler.onFailure(error)
  }

  private failPath (): void {
    this.isPathFailed = true
    this.connection.recordFailure()
  }

  private recordSent (): void {
    if (this.wasSent) return
    this.wasSent = true
    this.handler.onSent()
  }

  private finish (): void {
    this.isDone = true
    this.continueReading?.()
    this.connection.onFinished()
  }
}
