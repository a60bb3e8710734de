import { type Client, createClient, type Interceptor } from '@connectrpc/connect'
import { createGrpcTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { ResultAsync } from 'neverthrow'
import type { PeerFailure } from './failure.js'
import { toPeerFailure } from './failure.js'
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

const PING_INTERVAL_MS = 2_000
const PING_TIMEOUT_MS = 3_000

interface Link {
  readonly client: Client<typeof Peer>
  readonly sessions: Http2SessionManager
}

/** Connections to the other members, one each, opened when first used. */
export class Peers {
  private readonly links = new Map<string, Link>()

  /** @param key - the key which all hosts share */
  constructor (private readonly key: string) {}

  /**
   * @param callee - a member
   * @returns the client that calls it
   */
  client (callee: Callee): Client<typeof Peer> {
    let link = this.links.get(callee.id)
    if (link === undefined) {
      link = this.open(callee)
      this.links.set(callee.id, link)
    }
    return link.client
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
   * Closes connections to members that are gone.
   *
   * @param present - the ids of the members that are there
   */
  retain (present: ReadonlyMap<string, unknown>): void {
    for (const [id, link] of this.links) {
      if (present.has(id)) continue
      this.links.delete(id)
      link.sessions.abort()
    }
  }

  /** Closes all connections. */
  close (): void {
    this.retain(new Map())
  }

  private open (callee: Callee): Link {
    const baseUrl = `http://${callee.peerAddress}`
    const sessions = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS, pingTimeoutMs: PING_TIMEOUT_MS, pingIdleConnection: false
    })
    const authenticate: Interceptor = next => async request => {
      request.header.set(KEY_HEADER, this.key)
      return await next(request)
    }
    const transport = createGrpcTransport({ baseUrl, sessionManager: sessions, interceptors: [authenticate] })
    return { client: createClient(Peer, transport), sessions }
  }
}
