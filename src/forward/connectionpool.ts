import type Logger from 'bunyan'
import { ServerConnection } from './connection.js'

/** This host's idle connections to backend servers, by address. */
export class ConnectionPool {
  private readonly idle = new Map<string, ServerConnection[]>()
  private idleLimits: ReadonlyMap<string, number> = new Map()

  /**
   * @param log - receives a record of each connection that a server does not leave idle
   * @param onConnected - called when a connection is established
   */
  constructor (private readonly log: Logger, private readonly onConnected: () => void = () => undefined) {}

  /**
   * Returns the idle connection that was used last, so that unneeded connections reach their idle time-out,
   * or a new one.
   *
   * @param address - the server's IP address and port
   * @returns a connection that carries no request
   */
  acquire (address: string): ServerConnection {
    const connections = this.idle.get(address)
    for (let connection = connections?.pop(); connection !== undefined; connection = connections?.pop()) {
      if (connection.isUsable) return connection
      connection.close()
    }
    return new ServerConnection(address, this.onConnected)
  }

  /**
   * Returns a connection to the pool after a complete response. Closes it if it is unusable or the limit of
   * idle connections is reached.
   *
   * @param address - the server's IP address and port
   * @param connection - the connection
   */
  release (address: string, connection: ServerConnection): void {
    const connections = this.idle.get(address)
    if (!connection.isUsable || (connections?.length ?? 0) >= (this.idleLimits.get(address) ?? 0)) {
      connection.close()
      return
    }
    connection.setIdle(() => this.handleUnexpectedBytes(address, connection))
    if (connections === undefined) this.idle.set(address, [connection])
    else connections.push(connection)
  }

  /**
   * Sets how many idle connections are kept, and closes those above the limits.
   *
   * @param idleLimits - the greatest number of idle connections for each address; 0 for addresses without an entry
   */
  setIdleLimits (idleLimits: ReadonlyMap<string, number>): void {
    this.idleLimits = idleLimits
    for (const [address, connections] of this.idle) {
      for (const connection of connections.splice(idleLimits.get(address) ?? 0)) connection.close()
      if (connections.length === 0) this.idle.delete(address)
    }
  }

  /** Closes the connections that are idle now. */
  closeIdle (): void {
    for (const connections of this.idle.values()) for (const connection of connections) connection.close()
    this.idle.clear()
  }

  /** Closes all idle connections and keeps none from now on. */
  close (): void {
    this.setIdleLimits(new Map())
  }

  private handleUnexpectedBytes (address: string, connection: ServerConnection): void {
    this.log.debug({ event: 'unexpected-bytes', address }, 'unexpected-bytes')
    connection.close()
  }
}
