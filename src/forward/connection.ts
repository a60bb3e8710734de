import type { Socket } from 'node:net'
import { buildConnector, Client, type Dispatcher as UndiciDispatcher } from 'undici'

/** Longest time to establish a connection, in milliseconds; allows for several round trips. */
const CONNECT_TIMEOUT_MS = 500

/** Time before the server's own idle time-out at which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1_000

/** Time that an idle connection stays open if the server states none, in milliseconds. */
const DEFAULT_KEEP_ALIVE_MS = 4_000

/** Longest header block of a response, in bytes. */
const MAX_HEADER_BYTES = 64 << 10

/** One connection to a backend server. It carries one request at a time. */
export class ServerConnection {
  /** Whether the connection can carry another request. */
  isUsable = true
  /** Whether the connection was reset; a response without a length that ends then is truncated. */
  wasReset = false
  private readonly client: Client

  /** @param address - the server's IP address and port */
  constructor (address: string) {
    const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      connect: (options, callback) => {
        connector(options, (error, socket) => {
          if (error !== null) {
            callback(error, null)
            return
          }
          this.detectReset(socket as Socket)
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
   * @param handler - receives the response
   */
  dispatch (options: UndiciDispatcher.DispatchOptions, handler: UndiciDispatcher.DispatchHandler): void {
    this.client.dispatch(options, handler)
  }

  /** Closes the connection and aborts a request that is in progress. */
  close (): void {
    this.isUsable = false
    // The error reaches the handler of the request in progress.
    this.client.destroy().catch(() => undefined)
  }

  private detectReset (socket: Socket): void {
    socket.on('error', () => {
      this.wasReset = true
      this.isUsable = false
    })
  }
}
