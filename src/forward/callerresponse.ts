import type { ServerResponse } from 'node:http'
import type { RawHeaders } from './headers.js'

/** Statuses whose answers have no body and state no length, by RFC 9110. */
const BODILESS: ReadonlySet<number> = new Set([204, 304])

/** The answer to one request of a caller. */
export class Answer {
  /** Whether the caller left before the answer was whole. */
  isLeft = false

  /**
   * @param response - node's side of the connection
   * @param attempt - the name and value of the header that every answer echoes, if the caller sent it
   * @param isClosing - whether the connection is to end after this answer
   */
  constructor (
    private readonly response: ServerResponse,
    private readonly attempt: readonly [string, string] | undefined,
    private readonly isClosing: () => boolean
  ) {
    response.sendDate = false
    // Node takes the socket from the response before others hear that it is finished.
    const { socket } = response
    response.on('finish', () => {
      // An answer that was begun before the stop did not announce the end of its connection.
      if (isClosing()) socket?.end()
    })
  }

  /** Whether the head was sent. */
  get isBegun (): boolean {
    return this.response.headersSent
  }

  /** Whether nothing more can be sent. */
  get isOver (): boolean {
    return this.isLeft || this.response.writableEnded || this.response.destroyed
  }

  /**
   * Begins an answer whose body follows in pieces.
   *
   * @param status - the status
   * @param headers - a flat list of names and values
   * @param isUnframed - whether only the end of the connection tells the end of the answer
   */
  begin (status: number, headers: RawHeaders, isUnframed: boolean): void {
    if (isUnframed) this.endWithConnection()
    this.head(status, [...headers])
  }

  /**
   * @param bytes - the next piece
   * @returns whether more may come at once
   */
  write (bytes: Buffer): boolean {
    return this.response.write(bytes)
  }

  /** @param run - called once when more may come */
  onDrain (run: () => void): void {
    this.response.once('drain', run)
  }

  /** Ends an answer that was begun, as whole. */
  end (): void {
    this.response.end()
  }

  /**
   * Sends a whole answer.
   *
   * @param status - the status
   * @param headers - a flat list of names and values
   * @param body - the body
   * @param isUnframed - whether only the end of the connection tells the end of the answer
   */
  whole (status: number, headers: RawHeaders, body: Buffer, isUnframed = false): void {
    if (this.isOver) return
    if (isUnframed) {
      this.begin(status, headers, true)
    } else {
      const length = BODILESS.has(status) ? [] : ['Content-Length', String(body.length)]
      this.head(status, [...headers, ...length])
    }
    this.response.end(body)
  }

  /**
   * Sends an answer of the scheduler's own.
   *
   * @param status - the status
   * @param reason - says why, in a few words
   * @param retryAfterMs - when the caller may come back, if stated; in milliseconds
   */
  own (status: number, reason: string, retryAfterMs?: number): void {
    const headers = ['Content-Type', 'text/plain; charset=utf-8']
    if (this.attempt !== undefined) headers.push(...this.attempt)
    if (retryAfterMs !== undefined) headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(2))
    this.whole(status, headers, Buffer.from(`${reason}\n`))
  }

  /** Ends the connection, so that what was sent can't be taken for a whole answer. */
  cut (): void {
    this.response.destroy()
  }

  /** A server that states no length may have broken off: the answer must not look more complete than it came. */
  private endWithConnection (): void {
    this.response.shouldKeepAlive = false
    this.response.useChunkedEncodingByDefault = false
  }

  private head (status: number, headers: string[]): void {
    if (this.isClosing()) headers.push('Connection', 'close')
    this.response.writeHead(status, headers)
  }
}
