import { connect, createServer, type Server, type Socket } from 'node:net'

interface ProxiedConnection {
  readonly clientIp: string
  readonly upstream: Socket
  readonly downstream: Socket
}

/**
 * TCP proxy in front of one host's peer port that simulates network partitions: it blocks the traffic of chosen
 * client hosts without closing their connections.
 */
export class PartitionProxy {
  private readonly connections = new Set<ProxiedConnection>()
  private readonly blockedIps = new Set<string>()
  private server: Server | undefined
  private target = { ip: '', port: 0 }

  /**
   * Sets the address that connections are forwarded to.
   *
   * @param ip - IP address that the host listens on
   * @param port - port that the host listens on
   */
  setTarget (ip: string, port: number): void {
    this.target = { ip, port }
  }

  /**
   * Starts listening on a free loopback port.
   *
   * @returns the port that other hosts connect to
   */
  listen (): Promise<number> {
    this.server = createServer({ allowHalfOpen: false }, socket => this.accept(socket))
    return new Promise(resolve => {
      this.server!.listen(0, '127.0.0.1', () => {
        const address = this.server!.address()
        resolve(address !== null && typeof address === 'object' ? address.port : 0)
      })
    })
  }

  /**
   * Stops forwarding data of a client in both directions; its connections stay open.
   *
   * @param clientIp - IP address of the client host
   */
  block (clientIp: string): void {
    this.blockedIps.add(clientIp)
    for (const connection of this.connections) {
      if (connection.clientIp !== clientIp) continue
      connection.upstream.pause()
      connection.downstream.pause()
    }
  }

  /**
   * Closes the blocked connections of a client and forwards its new ones.
   *
   * @param clientIp - IP address of the client host
   */
  unblock (clientIp: string): void {
    this.blockedIps.delete(clientIp)
    for (const connection of this.connections) if (connection.clientIp === clientIp) this.closeConnection(connection)
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server?.close()
    for (const connection of this.connections) this.closeConnection(connection)
  }

  private accept (downstream: Socket): void {
    const clientIp = downstream.remoteAddress ?? ''
    const upstream = connect({ host: this.target.ip, port: this.target.port, noDelay: true })
    downstream.setNoDelay(true)
    const connection = { clientIp, upstream, downstream }
    this.connections.add(connection)
    upstream.on('data', bytes => downstream.write(bytes))
    downstream.on('data', bytes => upstream.write(bytes))
    for (const socket of [upstream, downstream]) {
      socket.on('error', () => this.closeConnection(connection))
      socket.on('close', () => this.closeConnection(connection))
    }
    if (!this.blockedIps.has(clientIp)) return
    upstream.pause()
    downstream.pause()
  }

  private closeConnection (connection: ProxiedConnection): void {
    this.connections.delete(connection)
    connection.upstream.destroy()
    connection.downstream.destroy()
  }
}
