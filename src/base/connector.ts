import type { Socket } from 'node:net'
import { buildConnector, errors } from 'undici'
import { ClientSocket } from './clientsocket.js'

/** Time without data after which the system checks whether the other side still exists, in milliseconds. */
const TCP_KEEP_ALIVE_MS = 60_000

/** Port of HTTP if a URL states none. */
const DEFAULT_PORT = 80

/** Where a connection is to lead. */
export interface Destination {
  readonly host: string
  readonly port: number
  /** Longest time to establish the connection, in milliseconds. */
  readonly timeoutMs: number
}

/**
 * Establishes the connection of a socket.
 *
 * @param socket - a socket without a connection
 * @param destination - where it leads
 * @param callback - called once, with the error if the connection failed
 */
export function establish (socket: Socket, destination: Destination, callback: (error?: Error) => void): void {
  const { host, port, timeoutMs } = destination
  const handleError = (error: Error): void => callback(error)
  socket.once('error', handleError)
  // If the process was busy, the connection may be established already, which it learns before the check.
  socket.setTimeout(timeoutMs, () => setImmediate(() => {
    if (socket.connecting) socket.destroy(new errors.ConnectTimeoutError(`no connection within ${timeoutMs} ms`))
  }))
  socket.connect({ host, port, noDelay: true }, () => {
    socket.setTimeout(0)
    socket.setKeepAlive(true, TCP_KEEP_ALIVE_MS)
    socket.off('error', handleError)
    callback()
  })
}

/**
 * @param timeoutMs - longest time to establish a connection, in milliseconds
 * @returns a function that opens the connections of an HTTP client of undici as {@link ClientSocket}; those of HTTPS as
 *   undici does
 */
export function createConnector (timeoutMs: number): buildConnector.connector {
  const connectSecurely = buildConnector({ timeout: timeoutMs })
  return (options, callback) => {
    if (options.protocol === 'https:') {
      connectSecurely(options, callback)
      return
    }
    const socket = new ClientSocket()
    // An IPv6 address of a URL is in brackets.
    const host = options.hostname.replace(/^\[(.*)\]$/, '$1')
    establish(socket, { host, port: Number(options.port) || DEFAULT_PORT, timeoutMs }, error => {
      if (error === undefined) callback(null, socket)
      else callback(error, null)
    })
  }
}
