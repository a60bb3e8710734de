import type { ConnectRouter, HandlerContext } from '@connectrpc/connect'
import type { RelayContext } from './context.js'
import { decodeRequest, type SendEventInit } from './messages.js'
import { NotSentReason } from './notsentreason.js'
import { RelayedRequest } from './relayedrequest.js'
import { Relay, type SendRequest } from './relay_pb.js'

/** Time until the response is due if the other host states none, in milliseconds. */
const DEFAULT_REMAINING_MS = 60_000

/** Sends requests to servers for hosts that cannot reach them. */
export class RelayService {
  private readonly requests = new Set<RelayedRequest>()

  /** @param context - what the relaying depends on */
  constructor (private readonly context: RelayContext) {}

  /** Number of requests of other hosts whose response is not complete. */
  get activeRequestCount (): number {
    return this.requests.size
  }

  /** @param router - receives the handlers of the service */
  register (router: ConnectRouter): void {
    router.service(Relay, {
      getStatus: () => ({ accepts: this.accepts }),
      send: (message, { signal, timeoutMs }) => this.send(message, signal, timeoutMs())
    })
  }

  private get accepts (): boolean {
    return this.context.isAccepting() && this.context.reachability.canReachServers
  }

  private async * send (
    message: SendRequest, signal: HandlerContext['signal'], remainingMs = DEFAULT_REMAINING_MS
  ): AsyncGenerator<SendEventInit> {
    if (!this.accepts) {
      yield notSent(NotSentReason.noPath)
      return
    }
    const server = this.context.fleet.findUsable(message.server, this.context.clock.now())
    if (server === undefined || server.born !== message.born) {
      yield notSent(NotSentReason.unusable)
      return
    }
    // The other host may have given up while this one was busy.
    if (signal.aborted) return
    const request = new RelayedRequest(this.context, server, decodeRequest(message, remainingMs))
    this.requests.add(request)
    // If the other host stops reading, the generator may never be resumed.
    const abort = (): void => {
      request.abort()
      this.requests.delete(request)
    }
    signal.addEventListener('abort', abort)
    try {
      yield * request.events
    } finally {
      signal.removeEventListener('abort', abort)
      abort()
    }
  }
}

function notSent (reason: NotSentReason): SendEventInit {
  return { body: { case: 'notSent', value: { reason } } }
}
