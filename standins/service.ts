import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { listenOnLoopback, portOf, sendJson } from './http.js'

/** Faults that a service worker simulates; set at run time by way of `/control`. */
export interface ServiceFaults {
  /** Duration of each call, in milliseconds. */
  delayMs: number
  /** Calls are executed, but their connection is closed before the response. */
  dropAnswers: boolean
  /** Calls are neither executed nor answered. */
  frozen: boolean
}

/** Stand-in for a worker of a plain service; counts the executions of each call. */
export class ServiceWorker {
  readonly faults: ServiceFaults = { delayMs: 5, dropAnswers: false, frozen: false }
  private readonly runsByNonce = new Map<string, number>()
  private server: Server | undefined

  /** @param name - name reported in responses */
  constructor (private readonly name: string) {}

  /**
   * Starts listening on loopback.
   *
   * @param port - the port; 0 takes any free one
   * @returns the port it listens on
   */
  async listen (port: number): Promise<number> {
    this.server = await listenOnLoopback(port, (request, response, body) => this.handle(request, response, body))
    return portOf(this.server)
  }

  /** Stops listening and closes all connections without waiting for open requests. */
  close (): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private async handle (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://service')
    if (url.pathname === '/control') {
      Object.assign(this.faults, JSON.parse(body === '' ? '{}' : body))
      return sendJson(response, 200, this.faults)
    }
    if (url.pathname === '/ran') return sendJson(response, 200, { runs: Object.fromEntries(this.runsByNonce) })
    if (this.faults.frozen) return
    const nonce = this.nonceOf(url, body)
    const runNumber = (this.runsByNonce.get(nonce) ?? 0) + 1
    this.runsByNonce.set(nonce, runNumber)
    await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (this.faults.dropAnswers) {
      response.destroy()
      return
    }
    sendJson(response, 200, { path: url.pathname, nonce, run: runNumber, worker: this.name })
  }

  /** Reads the nonce from the JSON body, else from the query; uses the path if neither has one. */
  private nonceOf (url: URL, body: string): string {
    try {
      return (JSON.parse(body) as { nonce?: string }).nonce ?? url.pathname
    } catch {
      return url.searchParams.get('nonce') ?? url.pathname
    }
  }
}
