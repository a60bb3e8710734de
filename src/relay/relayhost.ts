import type { ClientSessionOptions } from 'node:http2'
import { type Client, createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import type { Clock } from '../base/index.js'
import type { Member } from '../dispatch/index.js'
import type { BackendServer } from '../fleet/index.js'
import type { Exchange, OutgoingRequest, ResponseHandler, Transport } from '../forward/index.js'
import { SessionManager } from '../peer/index.js'
import { encodeRequest } from './messages.js'
import { Relay } from './relay_pb.js'
import { RelayedExchange } from './relayedexchange.js'

/** Longest time until a host replies to a status request, in milliseconds; allows for a paused processor core. */
const STATUS_TIMEOUT_MS = 200

/** Time without a reply after which the requests that a host relays are given up, in milliseconds. */
const LOST_AFTER_MS = 1_000

/** Time beyond the deadline until a call is aborted, in milliseconds; the request is usually given up before. */
const DEADLINE_MARGIN_MS = 200

/** Another host that may send requests for this one. */
export class RelayHost implements Transport {
  readonly logFields: Readonly<Record<string, unknown>>
  /** Whether the host replies and can reach servers, as far as known. */
  isUsable = false
  /** Number of requests that it relays for this host. */
  activeCount = 0
  private sessionManager: SessionManager
  private client: Client<typeof Relay>
  private isAsked = false
  private repliedAt: number

  /**
   * @param member - the other host
   * @param ip - the local IP address of the connection
   * @param clock - monotonic time
   */
  constructor (readonly member: Member, private readonly ip: string, private readonly clock: Clock) {
    this.logFields = { relay: member.host }
    this.repliedAt = clock.now()
    this.sessionManager = this.createSessionManager()
    this.client = this.createClient()
  }

  /** Asks the host whether it accepts requests, unless it was asked already and has not replied. */
  async ask (): Promise<void> {
    if (this.isAsked) return
    this.isAsked = true
    try {
      const { accepts } = await this.client.getStatus({}, { timeoutMs: STATUS_TIMEOUT_MS })
      this.isUsable = accepts
      this.repliedAt = this.clock.now()
    } catch {
      // A host that does not reply is not used; Relays logs how many are.
      this.isUsable = false
      if (this.clock.now() - this.repliedAt > LOST_AFTER_MS) this.reconnect()
    }
    this.isAsked = false
  }

  send (server: BackendServer, request: OutgoingRequest, handler: ResponseHandler): Exchange {
    const { client } = this
    const isUsable = (): boolean => this.isUsable
    this.activeCount++
    return new RelayedExchange({
      get isUsable () { return isUsable() },
      recordFailure: () => { this.isUsable = false },
      onFinished: () => { this.activeCount-- }
    }, signal => client.send(encodeRequest(server, request), {
      signal, timeoutMs: request.remainingMs + DEADLINE_MARGIN_MS
    }), handler)
  }

  /** Closes the connection; requests that the host relays fail. */
  close (): void {
    this.isUsable = false
    this.sessionManager.abort()
  }

  private reconnect (): void {
    this.repliedAt = this.clock.now()
    this.sessionManager.abort()
    this.sessionManager = this.createSessionManager()
    this.client = this.createClient()
  }

  private createSessionManager (): SessionManager {
    const options = { localAddress: this.ip } as ClientSessionOptions
    return new SessionManager(`http://${this.member.address}`, {}, options)
  }

  private createClient (): Client<typeof Relay> {
    const { sessionManager } = this
    const baseUrl = `http://${this.member.address}`
    return createClient(Relay, createGrpcTransport({ baseUrl, sessionManager, acceptCompression: [] }))
  }
}
