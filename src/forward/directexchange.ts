import type { Dispatcher as UndiciDispatcher } from 'undici'
import { toError } from '../base/index.js'
import type { ServerConnection } from './connection.js'
import type { ConnectionPool } from './connectionpool.js'
import type { Exchange, OutgoingRequest, ResponseHandler } from './exchange.js'
import { findHeader, isCloseDelimited } from './headers.js'
import { isRefused } from './probe.js'
import type { Reachability } from './reachability.js'

/** One request and its response over one connection. */
export class DirectExchange implements Exchange, UndiciDispatcher.DispatchHandler {
  private readonly connection: ServerConnection
  private abortRequest: (() => void) | undefined
  private isDone = false
  private isConstructed = false
  private isReleased = false
  /** Id of the attempt; undefined if the request states none. */
  private readonly attemptId: string | undefined
  /** Whether the response names the attempt, so that a late copy of it can be told from the next response. */
  private isIdentified = false
  private isCloseDelimited = false

  /**
   * Sends a request.
   *
   * @param pool - provides the connection
   * @param reachability - tells whether this host can reach servers
   * @param address - the server's IP address and port
   * @param attemptHeader - name of the header with the attempt's id, which servers echo
   * @param request - the request
   * @param handler - receives the response
   */
  constructor (
    private readonly pool: ConnectionPool,
    private readonly reachability: Reachability,
    private readonly address: string,
    private readonly attemptHeader: string,
    private readonly request: OutgoingRequest,
    private readonly handler: ResponseHandler
  ) {
    this.attemptId = findHeader(request.headers, attemptHeader)
    const connection = pool.acquire(address)
    this.connection = connection
    const bytesBefore = connection.parsedBytes
    connection.dispatch({
      method: request.method as UndiciDispatcher.HttpMethod,
      path: request.target,
      headers: request.headers as string[],
      body: request.body
    }, this, () => {
      if (this.isDone) return
      reachability.recordReceived()
      handler.onReading(connection.parsedBytes - bytesBefore)
    })
    this.isConstructed = true
  }

  get isPathSound (): boolean {
    return this.reachability.canReachServers
  }

  verifyPath (): Promise<boolean> {
    return this.reachability.verify(this.address)
  }

  handleSilence (silenceMs: number): void {
    this.reachability.checkIfQuiet(this.address, silenceMs)
  }

  abort (): void {
    if (this.isReleased) return
    const wasDone = this.isDone
    this.isDone = true
    if (!wasDone) this.abortRequest?.()
    this.connection.close()
  }

  release (): void {
    this.isReleased = true
    this.connection.resume()
    if (this.isIdentified) this.pool.release(this.address, this.connection)
    else this.connection.close()
  }

  resume (): void {
    if (!this.isDone) this.connection.resume()
  }

  onConnect (abort: (error?: Error) => void): void {
    if (this.isDone) {
      abort()
      return
    }
    this.abortRequest = abort
    this.handler.onSent()
  }

  onHeaders (status: number, headers: Buffer[]): boolean {
    if (this.isDone || status < 200) return true
    const fields = headers.map(field => field.toString('latin1'))
    this.isIdentified = this.attemptId === undefined || findHeader(fields, this.attemptHeader) === this.attemptId
    this.isCloseDelimited = isCloseDelimited(this.request.method, status, fields)
    this.handler.onHead(status, fields)
    return true
  }

  onData (bytes: Buffer): boolean {
    if (!this.isDone && !this.handler.onBody(bytes)) this.connection.pause()
    return true
  }

  onComplete (): void {
    if (this.isDone) return
    this.isDone = true
    if (this.isCloseDelimited) void this.endIfServerGoesOn()
    else this.handler.onEnd()
  }

  /** The system also ends the connections of a process that is killed, which is not the end of the response. */
  private async endIfServerGoesOn (): Promise<void> {
    const doubt = await this.findDoubt()
    try {
      if (doubt === undefined) this.handler.onEnd()
      else this.handler.onFailure(new Error(doubt))
    } catch (thrown) {
      this.handler.onFailure(toError(thrown))
    }
  }

  /** @returns why the end of the connection may be that of the server's process, if it may */
  private async findDoubt (): Promise<string | undefined> {
    if (this.reachability.wasPaused) return 'the server may have started again while this process stood still'
    return await isRefused(this.address) ? 'the process of the server ended' : undefined
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
