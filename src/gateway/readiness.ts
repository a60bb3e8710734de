import { createServer, type Server } from 'node:http'
import type { Endpoint } from './settings.js'

/** Answers the balancer's question whether this host takes new connections. */
export class Readiness {
  private readonly server: Server

  /**
   * @param path - the path of the question
   * @param isReady - the answer
   */
  constructor (path: string, isReady: () => boolean) {
    this.server = createServer((request, response) => {
      const isAsked = request.method === 'GET' && request.url?.split('?')[0] === path
      response.writeHead(!isAsked ? 404 : isReady() ? 200 : 503, { 'content-length': 0 })
      response.end()
    })
  }

  /** @param endpoint - where to listen */
  listen (endpoint: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(endpoint.port, endpoint.ip, () => resolve())
    })
  }

  /** Stops listening. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}
