import type { ClientSessionOptions } from 'node:http2'
import { type Client, createClient, type Interceptor } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { ResultAsync } from 'neverthrow'
import type { PeerFailure } from './failure.js'
import { toPeerFailure } from './failure.js'
import { type IncomingBody, LinkClient, type OutgoingBody } from './linkclient.js'
import { Peer } from './peer_pb.js'
import { SessionManager } from './sessionmanager.js'

/** A member to call. */
export interface Callee {
  /** The member's id. */
  readonly id: string
  /** IP address and port of its peer listener. */
  readonly peerAddress: string
}

/** Name of the header with the key that all hosts share. */
export const KEY_HEADER = 'x-peer-key'

/** Default deadline of calls, in milliseconds. */
export const CALL_TIMEOUT_MS = 1_000

interface PeerConnection {
  readonly client: Client<typeof Peer>
  readonly link: LinkClient
  readonly sessionManager: SessionManager
}

/** Connections to the other members: one for each member, opened on first use. */
export class Peers {
  private readonly connections = new Map<string, PeerConnection>()

  /**
   * @param key - the key that all hosts share
   * @param ip - the local IP address of the connections
   */
  constructor (private readonly key: string, private readonly ip: string) {}

  /**
   * @param callee - the member to call
   * @returns the client of its peer service
   */
  client (callee: Callee): Client<typeof Peer> {
    return this.getConnection(callee).client
  }

  /**
   * @param callee - the member to call
   * @returns the link that multiplexes calls to it
   */
  link (callee: Callee): LinkClient {
    return this.getConnection(callee).link
  }

  /**
   * Makes a call with a single reply over the member's link. Frequent calls use the link, since it carries many
   * calls on one stream.
   *
   * @param callee - the member to call
   * @param body - the request
   * @param timeoutMs - the time until the call fails without a reply, in milliseconds
   * @returns the reply, or why the call failed
   */
  callOverLink (
    callee: Callee, body: OutgoingBody, timeoutMs: number = CALL_TIMEOUT_MS
  ): ResultAsync<IncomingBody, PeerFailure> {
    return ResultAsync.fromPromise(this.link(callee).call(body, timeoutMs), thrown => thrown as PeerFailure)
  }

  /**
   * Makes a unary call with a deadline, apart from the link.
   *
   * @param callee - the member to call
   * @param call - makes the call with the given client and options; the options contain the deadline
   * @param timeoutMs - the time until the call fails without a response, in milliseconds
   * @returns the response, or why the call failed
   */
  call<Output> (
    callee: Callee,
    call: (client: Client<typeof Peer>, options: { timeoutMs: number }) => Promise<Output>,
    timeoutMs: number = CALL_TIMEOUT_MS
  ): ResultAsync<Output, PeerFailure> {
    const response = call(this.client(callee), { timeoutMs })
    return ResultAsync.fromPromise(response, thrown => toPeerFailure(callee.id, thrown))
  }

  /**
   * Drops the connection to a member that has stopped responding. Calls in progress fail; the next call opens a
   * new connection.
   *
   * @param id - the member's id
   */
  reset (id: string): void {
    const connection = this.connections.get(id)
    if (connection === undefined) return
    this.connections.delete(id)
    connection.link.close()
    connection.sessionManager.abort()
  }

  /**
   * Closes the connections to hosts that are no longer members.
   *
   * @param members - the current members, by id
   */
  retain (members: ReadonlyMap<string, unknown>): void {
    for (const id of [...this.connections.keys()]) {
      if (!members.has(id)) this.reset(id)
    }
  }

  /** Closes all connections. */
  close (): void {
    this.retain(new Map())
  }

  private getConnection (callee: Callee): PeerConnection {
    let connection = this.connections.get(callee.id)
    if (connection === undefined) {
      connection = this.openConnection(callee)
      this.connections.set(callee.id, connection)
    }
    return connection
  }

  private openConnection (callee: Callee): PeerConnection {
    const baseUrl = `http://${callee.peerAddress}`
    // HTTP/2 pings stay disabled: a ping that times out while its session is being closed ends the process.
    // The probes of the failure detector detect broken connections instead.
    const sessionManager = new SessionManager(baseUrl, {}, { localAddress: this.ip } as ClientSessionOptions)
    const authenticate: Interceptor = next => async request => {
      request.header.set(KEY_HEADER, this.key)
      return await next(request)
    }
    const transport = createGrpcTransport({
      baseUrl, sessionManager, interceptors: [authenticate], acceptCompression: []
    })
    const client = createClient(Peer, transport)
    return { client, link: new LinkClient(callee.id, client), sessionManager }
  }
}
