import { type buildConnector, Client, type Dispatcher as UndiciDispatcher } from 'undici'
import { establish } from '../base/index.js'
import { ServerSocket } from './serversocket.js'

/** Longest time to establish a connection, in milliseconds; allows for several round trips. */
const CONNECT_TIMEOUT_MS = 500

/** Time before the server's own idle time-out at which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1_000

/** Time that an idle connection stays open if the server states none, in milliseconds. */
const DEFAULT_KEEP_ALIVE_MS = 4_000

/** One connection to a backend server. It carries one request at a time. */
export class ServerConnection {
  /** Whether the connection can carry another request. */
  isUsable = true
  private readonly client: Client
  private socket: ServerSocket | undefined
  private onReading = (): void => undefined

  /**
   * @param address - the server's IP address and port
   * @param onConnected - called when the connection is established
   */
  constructor (address: string, private readonly onConnected: () => void) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (options, callback) => this.connect(options, callback)
    })
    this.client.on('disconnect', () => { this.isUsable = false })
    this.client.on('connectionError', () => { this.isUsable = false })
  }

  /** Number of bytes that were received and parsed. */
  get parsedBytes (): number {
    return this.socket?.parsedBytes ?? 0
  }

  /**
   * Sends a request.
   *
   * @param options - the request
   * @param handler - receives the response
   * @param onReading - called before more bytes are parsed; may close the connection
   */
  dispatch (
    options: UndiciDispatcher.DispatchOptions, handler: UndiciDispatcher.DispatchHandler, onReading: () => void
  ): void {
    this.onReading = onReading
    this.client.dispatch(options, handler)
  }

  /** @param onReading - called before bytes are parsed that the server sends while the connection is idle */
  setIdle (onReading: () => void): void {
    this.onReading = onReading
  }

  /** Stops reading until {@link ServerConnection.resume}; what was read already may still be parsed. */
  pause (): void {
    this.socket?.hold()
  }

  /** Continues reading. */
  resume (): void {
    this.socket?.release()
  }

  /** Closes the connection and aborts a request that is in progress. */
  close (): void {
    this.isUsable = false
    // The error reaches the handler of the request in progress.
    this.client.destroy().catch(() => undefined)
  }

  private connect (options: buildConnector.Options, callback: buildConnector.Callback): void {
    const socket = new ServerSocket(() => this.onReading())
    const destination = { host: options.hostname, port: Number(options.port), timeoutMs: CONNECT_TIMEOUT_MS }
    establish(socket, destination, error => {
      if (error !== undefined) {
        callback(error, null)
        return
      }
      this.onConnected()
      this.socket = socket
      socket.on('error', () => { this.isUsable = false })
      callback(null, socket)
    })
  }
}
