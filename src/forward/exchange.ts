import type { Dispatcher as UndiciDispatcher } from 'undici'
import type { Channel } from './connection.js'
import type { RawHeaders } from './headers.js'

/** A request as it goes to a server. */
export interface OutgoingRequest {
  readonly method: string
  readonly target: string
  readonly headers: readonly string[]
  readonly body: Buffer | null
}

/** Takes what a server answers to one request. */
export interface AnswerTaker {
  /** The request is being written. */
  sent (): void
  head (status: number, headers: RawHeaders): void
  /** @returns whether more may come at once */
  data (bytes: Buffer): boolean
  /** The answer is whole. */
  end (): void
  /** No whole answer will come. */
  fail (error: Error): void
  /** The request can't be sent to any server. */
  unsendable (error: Error): void
}

/** One request on its way over one connection. */
export class Sending implements UndiciDispatcher.DispatchHandler {
  private abortRequest: (() => void) | undefined
  private resumeReading: (() => void) | undefined
  private isDone = false
  private isBuilt = false

  /**
   * Sends a request.
   *
   * @param channel - carries it
   * @param request - the request
   * @param taker - takes the answer
   */
  constructor (private readonly channel: Channel, request: OutgoingRequest, private readonly taker: AnswerTaker) {
    channel.dispatch({
      method: request.method as UndiciDispatcher.HttpMethod,
      path: request.target,
      headers: request.headers as string[],
      body: request.body
    }, this)
    this.isBuilt = true
  }

  /** Ends the request with its connection; the taker hears no more. */
  abort (): void {
    if (this.isDone) return
    this.isDone = true
    this.abortRequest?.()
    this.channel.close()
  }

  /** Goes on after `data` asked to wait. */
  resume (): void {
    this.resumeReading?.()
  }

  onConnect (abort: (error?: Error) => void): void {
    if (this.isDone) {
      abort()
      return
    }
    this.abortRequest = abort
    this.taker.sent()
  }

  onHeaders (status: number, headers: Buffer[], resume: () => void): boolean {
    this.resumeReading = resume
    if (!this.isDone && status >= 200) this.taker.head(status, headers.map(field => field.toString('latin1')))
    return true
  }

  onData (bytes: Buffer): boolean {
    return this.isDone || this.taker.data(bytes)
  }

  onComplete (): void {
    if (this.isDone) return
    this.isDone = true
    if (this.channel.wasReset) this.taker.fail(new Error('the connection was reset'))
    else this.taker.end()
  }

  onError (error: Error): void {
    // Whoever sends has no hold of this object before its constructor returns.
    if (!this.isBuilt) queueMicrotask(() => this.failed(error))
    else this.failed(error)
  }

  private failed (error: Error): void {
    if (this.isDone) return
    this.isDone = true
    this.channel.isUsable = false
    const { code } = error as NodeJS.ErrnoException
    // The request itself can't be written; that says nothing about the server.
    if (code === 'UND_ERR_INVALID_ARG') this.taker.unsendable(error)
    else this.taker.fail(error)
  }
}
