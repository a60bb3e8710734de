import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { BufferBudget } from './bufferbudget.js'
import { CallerConnection } from './callerconnection.js'
import { Status } from './status.js'
import { MEMORY_RETRY_AFTER_MS } from './requestbody.js'

/** Most requests of one connection whose responses are not finished. Callers that send requests in a row send few. */
const MAX_ACTIVE_REQUESTS = 32

/** Interval at which incomplete heads are counted, in milliseconds. */
const COUNT_INTERVAL_MS = 100

/** Reason of refusals because other callers need the connection. */
const NO_CONNECTION = 'too many connections'

/** Limits the connections of callers, and the requests of each. */
export class CallerConnections {
  /** By socket; the first is the one that was used least recently. */
  private readonly connections = new Map<Socket, CallerConnection>()
  private countedAt = 0

  /**
   * @param maxCount - most connections
   * @param budget - the memory of all requests and responses
   */
  constructor (private readonly maxCount: number, private readonly budget: BufferBudget) {}

  /** Number of connections. */
  get count (): number {
    return this.connections.size
  }

  /**
   * Adds a connection that was accepted. With too many, the one that was used least recently gives way: first among
   * those without a request, then among those whose request is arriving. If there is none, the new one is closed.
   *
   * @param socket - the connection
   */
  add (socket: Socket): void {
    if (this.connections.size >= this.maxCount && !this.releaseFirst()) {
      socket.destroy()
      return
    }
    const connection = new CallerConnection(socket, this.budget)
    this.connections.set(socket, connection)
    socket.on('close', () => {
      this.connections.delete(socket)
      connection.close()
    })
  }

  /**
   * Records a request whose head is complete. Closes the connection if it has too many requests.
   *
   * @param response - the response to it
   * @returns the connection; undefined if it was closed
   */
  begin (response: ServerResponse): CallerConnection | undefined {
    const { socket } = response.req
    const connection = this.connections.get(socket)
    if (connection === undefined) return undefined
    connection.recordRequest()
    if (connection.responses.size >= MAX_ACTIVE_REQUESTS) {
      socket.destroy()
      return undefined
    }
    connection.responses.add(response)
    return connection
  }

  /**
   * Records the end of a response.
   *
   * @param connection - its connection
   * @param response - the response
   */
  end (connection: CallerConnection, response: ServerResponse): void {
    connection.responses.delete(response)
    connection.recordRequest()
    const { socket } = connection
    if (!this.connections.delete(socket)) return
    this.connections.set(socket, connection)
  }

  /**
   * Counts incomplete heads at intervals.
   *
   * @param now - monotonic time, in milliseconds
   */
  tick (now: number): void {
    if (now - this.countedAt < COUNT_INTERVAL_MS) return
    this.countedAt = now
    for (const connection of this.connections.values()) connection.countHead()
  }

  /** @returns whether a connection gave way */
  private releaseFirst (): boolean {
    let receiving: CallerConnection | undefined
    for (const connection of this.connections.values()) {
      if (connection.responses.size === 0) {
        this.close(connection)
        return true
      }
      if (connection.responses.size === 1 && connection.receiving !== undefined) receiving ??= connection
    }
    if (receiving === undefined) return false
    receiving.receiving?.refuse(Status.unavailable, NO_CONNECTION, MEMORY_RETRY_AFTER_MS)
    this.close(receiving)
    return true
  }

  private close ({ socket }: CallerConnection): void {
    this.connections.delete(socket)
    socket.destroySoon()
  }
}
