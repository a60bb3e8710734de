import type { Forecast } from '../admission/index.js'
import type { BackendServer, Configuration } from '../config/index.js'
import { ServerKind } from '../config/index.js'
import type { MembershipView } from '../member/index.js'
import { ResponseBuffer } from './buffer.js'
import { Dispatcher } from './dispatcher.js'
import { ResponseReader } from './reader.js'
import { Outcome, requestResult } from './result.js'
import type { Demand, Submission } from './submission.js'
import type { DispatchContext } from './context.js'

/** The backend servers that this host owns, and the responses that it reads from their engines. */
export class Owner {
  private readonly dispatchers = new Map<string, Dispatcher>()
  private readonly resumedResponses = new Map<string, ResponseBuffer>()
  private servers: ReadonlyMap<string, BackendServer> = new Map()
  private ownedServers = new Set<string>()

  /**
   * @param memberId - returns this member's id
   * @param context - dependencies shared by all dispatchers
   */
  constructor (private readonly memberId: () => string, private readonly context: DispatchContext) {}

  /** Number of waiting, running and resumed requests. */
  get load (): number {
    let count = this.resumedResponses.size
    for (const dispatcher of this.dispatchers.values()) count += dispatcher.load
    return count
  }

  /** The state of each dispatcher for the operator's dump. */
  get state (): object[] {
    return [...this.dispatchers.values()].map(dispatcher => dispatcher.state)
  }

  /**
   * Takes over the servers that this host owns under a configuration and a view, and drains all others.
   *
   * @param configuration - the current configuration
   * @param view - the current view
   */
  reconcile (configuration: Configuration, view: MembershipView): void {
    this.servers = configuration.servers
    this.ownedServers = new Set()
    for (const server of configuration.servers.values()) {
      if (server.kind !== ServerKind.engine || view.ownerOf(server.name) !== this.memberId()) continue
      this.ownedServers.add(server.name)
      this.openDispatcher(server)
    }
    for (const [name, dispatcher] of this.dispatchers) {
      if (this.ownedServers.has(name)) continue
      dispatcher.drain()
      if (dispatcher.load === 0) this.removeDispatcher(name)
    }
  }

  /**
   * Forecasts whether and when a request would be dispatched to a server.
   *
   * @param server - the server's name
   * @param demand - the request
   * @param now - the current time, in milliseconds since the epoch
   * @returns the forecast, or undefined if this host does not own the server
   */
  forecast (server: string, demand: Demand, now: number): Forecast | undefined {
    return this.ownedServers.has(server) ? this.dispatchers.get(server)?.forecast(demand, now) : undefined
  }

  /**
   * Submits a request to a server.
   *
   * @param server - the server's name
   * @param submission - the request
   * @param now - the current time, in milliseconds since the epoch
   * @returns its response, finished as not run if this host does not own the server
   */
  submit (server: string, submission: Submission, now: number): ResponseBuffer {
    const dispatcher = this.ownedServers.has(server) ? this.dispatchers.get(server) : undefined
    if (dispatcher !== undefined) return dispatcher.submit(submission, now)
    const response = new ResponseBuffer('', 0, () => undefined)
    response.finish(requestResult(Outcome.notRun, 'moved'))
    return response
  }

  /**
   * Gets the response to a request that this host or another has dispatched.
   *
   * @param server - the server's name
   * @param responseId - id of the response
   * @returns the response, from its first event
   */
  attach (server: string, responseId: string): ResponseBuffer {
    const known = this.dispatchers.get(server)?.findResponse(responseId) ??
      this.context.responseCache.get(responseId) ?? this.resumedResponses.get(responseId)
    return known ?? this.resumeResponse(server, responseId)
  }

  /**
   * Cancels a request, both here and on its engine.
   *
   * @param server - the server's name
   * @param responseId - id of the response
   */
  async cancel (server: string, responseId: string): Promise<void> {
    this.dispatchers.get(server)?.cancel(responseId, requestResult(Outcome.unknown, 'cancelled'))
    const address = this.servers.get(server)?.address
    if (address !== undefined) await this.context.client.cancel(address, responseId)
  }

  /** Stops accepting requests for all servers. */
  drain (): void {
    this.ownedServers = new Set()
    for (const dispatcher of this.dispatchers.values()) dispatcher.drain()
  }

  /** Reports the metrics of each owned server. */
  reportMetrics (): void {
    for (const name of this.ownedServers) this.dispatchers.get(name)?.reportMetrics()
  }

  /** Stops the dispatchers' timers. */
  close (): void {
    for (const dispatcher of this.dispatchers.values()) dispatcher.close()
  }

  private openDispatcher (server: BackendServer): void {
    let dispatcher = this.dispatchers.get(server.name)
    if (dispatcher === undefined) {
      dispatcher = new Dispatcher(server, this.context)
      this.dispatchers.set(server.name, dispatcher)
    }
    dispatcher.update(server)
    if (server.draining) dispatcher.drain()
    else dispatcher.resume()
  }

  private removeDispatcher (name: string): void {
    this.dispatchers.get(name)?.close()
    this.dispatchers.delete(name)
  }

  /** Reads a response from its engine again, starting with the first event. */
  private resumeResponse (server: string, responseId: string): ResponseBuffer {
    const response = new ResponseBuffer(responseId, 0, () => undefined)
    const address = this.servers.get(server)?.address
    if (address === undefined) {
      response.finish(requestResult(Outcome.unknown, 'server-gone'))
      return response
    }
    this.resumedResponses.set(responseId, response)
    void this.readFromEngine(address, responseId, response)
    return response
  }

  private async readFromEngine (address: string, responseId: string, response: ResponseBuffer): Promise<void> {
    const reader = new ResponseReader(this.context.client, { address, responseId }, -1, this.context.clock)
    const body = await this.context.client.resume(address, responseId, -1)
    response.markDispatched()
    const read = await reader.read(body, event => response.append(event.bytes))
    this.resumedResponses.delete(responseId)
    if (read.isErr()) {
      response.finish(requestResult(Outcome.unknown, read.error.code))
      return
    }
    response.finish(requestResult(Outcome.answered, 'answered'))
    this.context.responseCache.add(response, this.context.clock.now())
  }
}
