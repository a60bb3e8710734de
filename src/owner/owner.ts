import type { Forecast } from '../admission/index.js'
import type { BackendServer, Configuration } from '../config/index.js'
import { Kind } from '../config/index.js'
import type { View } from '../member/index.js'
import { Answer } from './buffer.js'
import { Dispatcher } from './dispatcher.js'
import { ending, Outcome } from './result.js'
import { Reader } from './reader.js'
import type { Demand, Submission } from './submission.js'
import type { Tools } from './tools.js'

/** The backend servers that this host owns, and answers that it gives. */
export class Owner {
  private readonly dispatchers = new Map<string, Dispatcher>()
  private readonly attached = new Map<string, Answer>()
  private servers: ReadonlyMap<string, BackendServer> = new Map()
  private owned = new Set<string>()

  /**
   * @param self - tells this member's id
   * @param tools - shared by all dispatchers
   */
  constructor (private readonly self: () => string, private readonly tools: Tools) {}

  /** How many requests wait or run. */
  get load (): number {
    let sum = this.attached.size
    for (const dispatcher of this.dispatchers.values()) sum += dispatcher.load
    return sum
  }

  /** The state for people to read. */
  get state (): object[] {
    return [...this.dispatchers.values()].map(dispatcher => dispatcher.state)
  }

  /**
   * Takes up a configuration and a view: owns what falls to this host, lets go of the rest.
   *
   * @param configuration - the configuration in force
   * @param view - the view in force
   */
  follow (configuration: Configuration, view: View): void {
    this.servers = configuration.servers
    this.owned = new Set()
    for (const server of configuration.servers.values()) {
      if (server.kind !== Kind.engine || view.ownerOf(server.name) !== this.self()) continue
      this.owned.add(server.name)
      this.take(server)
    }
    for (const [name, dispatcher] of this.dispatchers) {
      if (this.owned.has(name)) continue
      dispatcher.drain()
      if (dispatcher.load === 0) this.drop(name)
    }
  }

  /**
   * Tells how a request would fare on a server.
   *
   * @param server - the server's name
   * @param demand - the request
   * @param now - the present time, in milliseconds since the epoch
   * @returns the forecast, or undefined if this host does not own the server
   */
  forecast (server: string, demand: Demand, now: number): Forecast | undefined {
    return this.owned.has(server) ? this.dispatchers.get(server)?.forecast(demand, now) : undefined
  }

  /**
   * Takes a request for a server.
   *
   * @param server - the server's name
   * @param submission - the request
   * @param now - the present time, in milliseconds since the epoch
   * @returns its answer, ended as not run if this host does not own the server
   */
  submit (server: string, submission: Submission, now: number): Answer {
    const dispatcher = this.owned.has(server) ? this.dispatchers.get(server) : undefined
    if (dispatcher !== undefined) return dispatcher.submit(submission, now)
    const answer = new Answer('', 0, () => undefined)
    answer.finish(ending(Outcome.notRun, 'moved'))
    return answer
  }

  /**
   * Gives an answer that was dispatched before, by this host or another.
   *
   * @param server - the server's name
   * @param responseId - the response
   * @returns the answer, from its start
   */
  attach (server: string, responseId: string): Answer {
    const known = this.dispatchers.get(server)?.find(responseId) ??
      this.tools.answers.get(responseId) ?? this.attached.get(responseId)
    return known ?? this.readOn(server, responseId)
  }

  /**
   * Cancels a response on its engine.
   *
   * @param server - the server's name
   * @param responseId - the response
   */
  async cancel (server: string, responseId: string): Promise<void> {
    this.dispatchers.get(server)?.cancel(responseId, ending(Outcome.unknown, 'cancelled'))
    const address = this.servers.get(server)?.address
    if (address !== undefined) await this.tools.client.cancel(address, responseId)
  }

  /** Stops taking new work on all servers. */
  drain (): void {
    this.owned = new Set()
    for (const dispatcher of this.dispatchers.values()) dispatcher.drain()
  }

  /** Sends the present figures of each owned server. */
  report (): void {
    for (const name of this.owned) this.dispatchers.get(name)?.report()
  }

  /** Stops timers. */
  close (): void {
    for (const dispatcher of this.dispatchers.values()) dispatcher.close()
  }

  private take (server: BackendServer): void {
    let dispatcher = this.dispatchers.get(server.name)
    if (dispatcher === undefined) {
      dispatcher = new Dispatcher(server, this.tools)
      this.dispatchers.set(server.name, dispatcher)
    }
    dispatcher.update(server)
    if (server.draining) dispatcher.drain()
    else dispatcher.resume()
  }

  private drop (name: string): void {
    this.dispatchers.get(name)?.close()
    this.dispatchers.delete(name)
  }

  private readOn (server: string, responseId: string): Answer {
    const answer = new Answer(responseId, 0, () => undefined)
    const address = this.servers.get(server)?.address
    if (address === undefined) {
      answer.finish(ending(Outcome.unknown, 'server-gone'))
      return answer
    }
    this.attached.set(responseId, answer)
    void this.readFrom(address, responseId, answer)
    return answer
  }

  private async readFrom (address: string, responseId: string, answer: Answer): Promise<void> {
    const reader = new Reader(this.tools.client, { address, responseId }, -1, this.tools.clock)
    const body = await this.tools.client.resume(address, responseId, -1)
    answer.begin()
    const result = await reader.run(body, event => answer.append(event.bytes))
    this.attached.delete(responseId)
    if (result.isErr()) {
      answer.finish(ending(Outcome.unknown, result.error.code))
      return
    }
    answer.finish(ending(Outcome.answered, 'answered'))
    this.tools.answers.keep(answer, this.tools.clock.now())
  }
}
