import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher as UndiciDispatcher } from 'undici'

/** A connection that does not come about in this time is given up, in milliseconds: several ways there and back. */
const CONNECT_TIMEOUT_MS = 500

/** Kept connections are closed this long before their server would close them, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1_000

/** How long a kept connection stays open if its server states no time, in milliseconds. */
const KEEP_ALIVE_MS = 4_000

/** Longest header block of an answer, in bytes. */
const GREATEST_HEADER_BYTES = 64 << 10

/** One connection to a server, which carries one request at a time. */
export class Channel {
  /** Whether it may carry another request. */
  isUsable = true
  /** Whether the server reset it; an answer that then ends without a length is not whole. */
  wasReset = false
  private readonly client: Client

  /** @param address - the server's IP number and port */
  constructor (address: string) {
    const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: GREATEST_HEADER_BYTES,
      connect: (options, callback) => {
        connector(options, (error, socket) => {
          if (error !== null) {
            callback(error, null)
            return
          }
          this.watch(socket as Socket)
          callback(null, socket as Socket)
        })
      }
    })
    this.client.on('disconnect', () => { this.isUsable = false })
    this.client.on('connectionError', () => { this.isUsable = false })
  }

  /**
   * Sends a request.
   *
   * @param options - the request
   * @param handler - takes the answer
   */
  dispatch (options: UndiciDispatcher.DispatchOptions, handler: UndiciDispatcher.DispatchHandler): void {
    this.client.dispatch(options, handler)
  }

  /** Ends the connection. */
  close (): void {
    this.isUsable = false
    // Whoever uses the connection is told by its handler.
    this.client.destroy().catch(() => undefined)
  }

  private watch (socket: Socket): void {
    socket.on('error', () => {
      this.wasReset = true
      this.isUsable = false
    })
  }
}
