import type { Dispatcher as UndiciDispatcher } from 'undici'
import type { ServerConnection } from './connection.js'
import type { ConnectionPool } from './connectionpool.js'
import type { RawHeaders } from './headers.js'

/** A request as it is sent to a server. */
export interface OutgoingRequest {
  readonly method: string
  readonly target: string
  readonly headers: readonly string[]
  readonly body: Buffer | null
}

/** Receives a server's response to one request. */
export interface ResponseHandler {
  /** Called when the connection starts to write the request. */
  onSent (): void
  /**
   * Called before further bytes of the server are parsed.
   *
   * @param bytes - bytes that were received and parsed since the request was sent
   */
  onReading (bytes: number): void
  /**
   * Called when the final status and headers arrive.
   *
   * @param status - the HTTP status
   * @param headers - a flat list of names and values
   */
  onHead (status: number, headers: RawHeaders): void
  /**
   * Called for each chunk of the body.
   *
   * @param bytes - the chunk
   * @returns whether to continue reading at once; if false, reading continues after {@link Exchange.resume}
   */
  onBody (bytes: Buffer): boolean
  /** Called when the response is complete. */
  onEnd (): void
  /**
   * Called when the response can't be completed.
   *
   * @param error - the error of the connection
   */
  onFailure (error: Error): void
  /**
   * Called when the request can't be sent to any server.
   *
   * @param error - why the request is invalid
   */
  onUnsendable (error: Error): void
}

/** One request and its response over one connection. */
export class Exchange implements UndiciDispatcher.DispatchHandler {
  private readonly connection: ServerConnection
  private abortRequest: (() => void) | undefined
  private resumeReading: (() => void) | undefined
  private isDone = false
  private isConstructed = false
  private isReleased = false

  /**
   * Sends a request.
   *
   * @param pool - provides the connection
   * @param address - the server's IP address and port
   * @param request - the request
   * @param handler - receives the response
   */
  constructor (
    private readonly pool: ConnectionPool,
    private readonly address: string,
    request: OutgoingRequest,
    private readonly handler: ResponseHandler
  ) {
    const connection = pool.acquire(address)
    this.connection = connection
    const bytesBefore = connection.parsedBytes
    connection.dispatch({
      method: request.method as UndiciDispatcher.HttpMethod,
      path: request.target,
      headers: request.headers as string[],
      body: request.body
    }, this, () => { if (!this.isDone) handler.onReading(connection.parsedBytes - bytesBefore) })
    this.isConstructed = true
  }

  /** Aborts the request and closes its connection, unless it was released; the handler is not called any more. */
  abort (): void {
    if (this.isReleased) return
    const wasDone = this.isDone
    this.isDone = true
    if (!wasDone) this.abortRequest?.()
    this.connection.close()
  }

  /** Returns the connection to the pool, after a complete response. */
  release (): void {
    this.isReleased = true
    this.pool.release(this.address, this.connection)
  }

  /** Continues to read the body after `onBody` returned false. */
  resume (): void {
    this.resumeReading?.()
  }

  onConnect (abort: (error?: Error) => void): void {
    if (this.isDone) {
      abort()
      return
    }
    this.abortRequest = abort
    this.handler.onSent()
  }

  onHeaders (status: number, headers: Buffer[], resume: () => void): boolean {
    this.resumeReading = resume
    if (!this.isDone && status >= 200) this.handler.onHead(status, headers.map(field => field.toString('latin1')))
    return true
  }

  onData (bytes: Buffer): boolean {
    return this.isDone || this.handler.onBody(bytes)
  }

  onComplete (): void {
    if (this.isDone) return
    this.isDone = true
    if (this.connection.wasReset) this.handler.onFailure(new Error('the connection was reset'))
    else this.handler.onEnd()
  }

  onError (error: Error): void {
    // The caller of the constructor can't handle the error before the constructor returns the exchange.
    if (!this.isConstructed) queueMicrotask(() => this.handleError(error))
    else this.handleError(error)
  }

  private handleError (error: Error): void {
    if (this.isDone) return
    this.isDone = true
    this.connection.isUsable = false
    const { code } = error as NodeJS.ErrnoException
    // The request itself is invalid, so the server is not at fault.
    if (code === 'UND_ERR_INVALID_ARG') this.handler.onUnsendable(error)
    else this.handler.onFailure(error)
  }
}
