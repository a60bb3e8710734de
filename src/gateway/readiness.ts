import { createServer, type Server } from 'node:http'
import type { Endpoint } from '../base/index.js'

/** Longest header block of a check, in bytes. */
const MAX_HEADER_BYTES = 8 << 10

/** Most connections; a load balancer has few. */
const MAX_CONNECTIONS = 64

/** HTTP server for the load balancer's check whether this host accepts new connections. */
export class ReadinessServer {
  private readonly server: Server

  /**
   * @param path - path of the check
   * @param isReady - returns whether this host accepts new connections
   */
  constructor (path: string, isReady: () => boolean) {
    this.server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, (request, response) => {
      const isCheck = request.method === 'GET' && request.url?.split('?')[0] === path
      response.writeHead(!isCheck ? 404 : isReady() ? 200 : 503, { 'content-length': 0 })
      response.end()
    })
    this.server.maxConnections = MAX_CONNECTIONS
  }

  /**
   * @param endpoint - where to listen
   * @returns a promise that is rejected if the server can't listen there
   */
  listen (endpoint: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(endpoint.port, endpoint.ip, () => resolve())
    })
  }

  /** Stops listening, and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
