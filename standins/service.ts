import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { portOf, sendJson, serveAt } from './http.js'

/** Faults of a service worker, settable at run time. */
export interface ServiceFaults {
  /** Time that a call takes, in milliseconds. */
  delayMs: number
  /** Calls are executed, then the connection is broken without an answer. */
  dropAnswers: boolean
  /** Nothing is answered or executed. */
  frozen: boolean
}

/** A worker of a plain service: counts how often each call was executed. */
export class ServiceWorker {
  readonly faults: ServiceFaults = { delayMs: 5, dropAnswers: false, frozen: false }
  private readonly runs = new Map<string, number>()
  private server: Server | undefined

  /** @param name - told in answers */
  constructor (private readonly name: string) {}

  /**
   * @param port - the port; 0 takes any free one
   * @returns the port that is listened at
   */
  async listen (port: number): Promise<number> {
    this.server = await serveAt(port, (request, response, body) => this.handle(request, response, body))
    return portOf(this.server)
  }

  /** Stops at once. */
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
    if (url.pathname === '/ran') return sendJson(response, 200, { runs: Object.fromEntries(this.runs) })
    if (this.faults.frozen) return
    const nonce = this.nonceOf(url, body)
    const run = (this.runs.get(nonce) ?? 0) + 1
    this.runs.set(nonce, run)
    await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (this.faults.dropAnswers) {
      response.destroy()
      return
    }
    sendJson(response, 200, { path: url.pathname, nonce, run, worker: this.name })
  }

  private nonceOf (url: URL, body: string): string {
    try {
      return (JSON.parse(body) as { nonce?: string }).nonce ?? url.pathname
    } catch {
      return url.searchParams.get('nonce') ?? url.pathname
    }
  }
}
