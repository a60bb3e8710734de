import type { ServerResponse } from 'node:http'
import type { BufferBudget, BufferOwner } from './bufferbudget.js'
import { findHeader, type RawHeaders } from './headers.js'
import { Status } from './status.js'
import { YieldWeight } from './yieldweight.js'

/** Statuses whose responses have neither a body nor a Content-Length, by RFC 9110. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([Status.noContent, Status.notModified])

/**
 * Longest body that is sent without a length, in bytes. The system takes it at once, so that the end of this process
 * does not cut it off, which would look like its end.
 */
const MAX_CLOSE_DELIMITED_BYTES = 16 << 10

/** Unread part of a response from which it is counted, in bytes; the buffer of a connection holds as much. */
const MIN_UNREAD_BYTES = 16 << 10

/** The response to one request of a caller. */
export class CallerResponse implements BufferOwner {
  readonly yieldWeight = YieldWeight.response
  /** Whether the caller disconnected before the response was complete. */
  hasCallerDisconnected = false
  private isLast = false
  /** Media type of the response that was started. */
  private mediaType = ''

  /**
   * @param response - Node's response object for the connection
   * @param echoedHeader - name and value of the attempt's header, which the scheduler's own responses echo;
   *   undefined if the caller did not send it
   * @param isClosing - whether the connection is to be closed after this response
   * @param hasOtherRequest - whether another request of the connection awaits its response
   * @param budget - the memory of all requests and responses; counts what the caller has not read
   */
  constructor (
    private readonly response: ServerResponse,
    private readonly echoedHeader: readonly [string, string] | undefined,
    private readonly isClosing: () => boolean,
    private readonly hasOtherRequest: () => boolean,
    private readonly budget: BufferBudget
  ) {
    response.sendDate = false
    // Node attaches the socket to a pipelined response late, and detaches it before other listeners of 'finish' run.
    const { socket } = response.req
    response.once('close', () => this.budget.set(this, 0))
    response.on('finish', () => {
      this.budget.set(this, 0)
      // A response that started before shutdown carries no "Connection: close" header.
      if (isClosing() && !hasOtherRequest()) socket.end()
    })
  }

  /** Whether the status and headers were sent. */
  get isStarted (): boolean {
    return this.response.headersSent
  }

  /** Whether nothing more can be sent. */
  get isClosed (): boolean {
    return this.hasCallerDisconnected || this.response.writableEnded || this.response.destroyed
  }

  /**
   * @param headers - the headers of a successful response of a server
   * @returns whether its body may follow what was sent, if anything was; that of another type, such as a description of
   *   an error, may not
   */
  canContinueWith (headers: RawHeaders): boolean {
    return !this.isStarted || mediaTypeOf(headers) === this.mediaType
  }

  /**
   * Starts a response whose body follows in chunks, however the server marks its end. The end of the connection can't
   * mark it: the system also ends the connections of a process that is killed in the ordinary way. Does nothing if the
   * response was started; if a second server continues it, the headers of the first remain.
   *
   * @param status - the HTTP status
   * @param headers - a flat list of names and values
   */
  start (status: number, headers: RawHeaders): void {
    if (this.isStarted) return
    this.mediaType = mediaTypeOf(headers)
    this.writeHead(status, [...headers])
  }

  /**
   * @param bytes - the next chunk of the body
   * @returns whether more can be written without waiting for a drain
   */
  write (bytes: Buffer): boolean {
    const canContinue = this.response.write(bytes)
    this.countUnread()
    return canContinue
  }

  /** @param listener - called once when more can be written */
  onDrain (listener: () => void): void {
    this.response.once('drain', () => {
      this.countUnread()
      listener()
    })
  }

  /** Closes the connection when the response has ended. To be called before the response is sent. */
  closeAfterEnd (): void {
    this.isLast = true
  }

  onBufferExhausted (): void {
    this.response.socket?.destroy()
    this.response.destroy()
  }

  /** Completes a response that was started. */
  end (): void {
    this.response.end()
  }

  /**
   * Sends a complete response with its length. Does nothing if nothing more can be sent.
   *
   * @param status - the HTTP status
   * @param headers - a flat list of names and values
   * @param body - the body
   * @param isCloseDelimited - whether its server marked the end only by the end of the connection; since it may have
   *   broken off, no length is stated if the body is short
   */
  send (status: number, headers: RawHeaders, body: Buffer, isCloseDelimited = false): void {
    if (this.isClosed) return
    if (isCloseDelimited && body.length <= MAX_CLOSE_DELIMITED_BYTES) {
      this.response.shouldKeepAlive = false
      this.response.useChunkedEncodingByDefault = false
      this.writeHead(status, [...headers])
      this.response.end(body)
      return
    }
    const length = BODILESS_STATUSES.has(status) ? [] : ['Content-Length', String(body.length)]
    this.writeHead(status, [...headers, ...length])
    this.response.end(body)
    this.countUnread()
  }

  /**
   * Sends a plain-text response that the scheduler itself generates.
   *
   * @param status - the HTTP status
   * @param reason - a short explanation, sent as the body
   * @param retryAfterMs - time after which the caller may retry, in milliseconds; sent as Retry-After
   */
  sendText (status: number, reason: string, retryAfterMs?: number): void {
    const headers = ['Content-Type', 'text/plain; charset=utf-8']
    if (this.echoedHeader !== undefined) headers.push(...this.echoedHeader)
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(2))
    this.send(status, headers, Buffer.from(`${reason}\n`))
  }

  /** Closes the connection without the last chunk, which shows that the response is partial. */
  destroy (): void {
    this.response.destroy()
  }

  /** Counts what was written, and the system has not taken since the caller does not read. */
  private countUnread (): void {
    if (this.response.writableFinished) return
    const unreadBytes = this.response.writableLength
    this.budget.set(this, unreadBytes < MIN_UNREAD_BYTES ? 0 : unreadBytes)
  }

  private writeHead (status: number, headers: string[]): void {
    // The other responses of the connection follow; it is closed after the last one.
    if (this.isLast || (this.isClosing() && !this.hasOtherRequest())) headers.push('Connection', 'close')
    this.response.writeHead(status, headers)
  }
}

/** @returns the media type that headers state, without parameters; empty if they state none */
function mediaTypeOf (headers: RawHeaders): string {
  return (findHeader(headers, 'content-type') ?? '').split(';')[0]!.trim().toLowerCase()
}
