import type { ClientSessionOptions } from 'node:http2'
import { type Client, createClient, type Interceptor } from '@connectrpc/connect'
import { createGrpcTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { ResultAsync } from 'neverthrow'
import type { PeerFailure } from './failure.js'
import { toPeerFailure } from './failure.js'
import { type Body, type InBody, Link } from './link.js'
import { Peer } from './peer_pb.js'

/** A member that can be called. */
export interface Callee {
  readonly id: string
  /** IP number and port. */
  readonly peerAddress: string
}

/** The header that carries the key which all hosts share. */
export const KEY_HEADER = 'x-peer-key'

/** How long a short call may take, in milliseconds. */
export const CALL_TIMEOUT_MS = 1_000

interface Connection {
  readonly client: Client<typeof Peer>
  readonly link: Link
  readonly sessions: Http2SessionManager
}

/** Connections to the other members, one each, opened when first used. */
export class Peers {
  private readonly connections = new Map<string, Connection>()

  /**
   * @param key - the key which all hosts share
   * @param ip - the IP number that calls come from
   */
  constructor (private readonly key: string, private readonly ip: string) {}

  /**
   * @param callee - a member
   * @returns the client that calls it
   */
  client (callee: Callee): Client<typeof Peer> {
    return this.connection(callee).client
  }

  /**
   * @param callee - a member
   * @returns the link that carries the frequent calls to it
   */
  link (callee: Callee): Link {
    return this.connection(callee).link
  }

  /**
   * Makes one frequent call with a deadline.
   *
   * @param callee - the member to call
   * @param body - the request
   * @param timeoutMs - the deadline, in milliseconds
   * @returns the reply, or this layer's failure
   */
  ask (callee: Callee, body: Body, timeoutMs: number = CALL_TIMEOUT_MS): ResultAsync<InBody, PeerFailure> {
    return ResultAsync.fromPromise(this.link(callee).call(body, timeoutMs), thrown => thrown as PeerFailure)
  }

  /**
   * Makes one short call with a deadline.
   *
   * @param callee - the member to call
   * @param call - the call, given the client and options that carry the deadline
   * @param timeoutMs - the deadline, in milliseconds
   * @returns its answer, or this layer's failure
   */
  call<Answer> (
    callee: Callee,
    call: (client: Client<typeof Peer>, options: { timeoutMs: number }) => Promise<Answer>,
    timeoutMs: number = CALL_TIMEOUT_MS
  ): ResultAsync<Answer, PeerFailure> {
    const answer = call(this.client(callee), { timeoutMs })
    return ResultAsync.fromPromise(answer, thrown => toPeerFailure(callee.id, thrown))
  }

  /**
   * Breaks the connection to a member that has fallen silent, so that what waits for it fails.
   *
   * @param id - the member's id
   */
  reset (id: string): void {
    const connection = this.connections.get(id)
    if (connection === undefined) return
    this.connections.delete(id)
    connection.link.close()
    connection.sessions.abort()
  }

  /**
   * Closes connections to members that are gone.
   *
   * @param present - the ids of the members that are there
   */
  retain (present: ReadonlyMap<string, unknown>): void {
    for (const id of [...this.connections.keys()]) {
      if (!present.has(id)) this.reset(id)
    }
  }

  /** Closes all connections. */
  close (): void {
    this.retain(new Map())
  }

  private connection (callee: Callee): Connection {
    let connection = this.connections.get(callee.id)
    if (connection === undefined) {
      connection = this.open(callee)
      this.connections.set(callee.id, connection)
    }
    return connection
  }

  private open (callee: Callee): Connection {
    const baseUrl = `http://${callee.peerAddress}`
    // No pings here: a ping that times out while its session is being closed ends the process. Probes do that work.
    const sessions = new Http2SessionManager(baseUrl, {}, { localAddress: this.ip } as ClientSessionOptions)
    const authenticate: Interceptor = next => async request => {
      request.header.set(KEY_HEADER, this.key)
      return await next(request)
    }
    const transport = createGrpcTransport({
      baseUrl, sessionManager: sessions, interceptors: [authenticate], acceptCompression: []
    })
    const client = createClient(Peer, transport)
    return { client, link: new Link(callee.id, client), sessions }
  }
}
