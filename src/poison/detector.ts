import { CrashHistory } from './history.js'
import { type CrashObserver, NO_OBSERVER } from './observer.js'

/** A server lost within this time after a connection to it broke is assumed to have crashed, in milliseconds. */
const CRASH_WINDOW_MS = 3_000

/** How long a crash counts against a request, in milliseconds. */
const RETENTION_MS = 120_000

/** Number of servers that a request must have crashed before it is refused. */
const REFUSAL_THRESHOLD = 3

/** Number of requests with a broken connection that are kept in case their server is found lost. */
const MAX_DISCONNECTED_REQUESTS = 1_024

/** What identifies a request when crashes are compared. */
export interface RequestTraits {
  /** Equal for requests with the same path, organisation and body. */
  readonly fingerprint: string
  /** Ids of the parts of the prompt that other requests may share. */
  readonly sharedPromptParts: readonly string[]
}

interface DisconnectedRequest {
  readonly traits: RequestTraits
  readonly server: string
  readonly disconnectedAt: number
}

/**
 * Detects requests that crash servers. A broken connection alone is no evidence of a crash: the server must be lost
 * right after it.
 */
export class PoisonDetector {
  private readonly history = new CrashHistory(RETENTION_MS, REFUSAL_THRESHOLD)
  private disconnectedRequests: DisconnectedRequest[] = []

  /** @param observer - is told of each crash */
  constructor (private readonly observer: CrashObserver = NO_OBSERVER) {}

  /**
   * Records a request whose connection to its server broke.
   *
   * @param traits - what identifies the request
   * @param server - id of the server that ran it
   * @param now - monotonic time, in milliseconds
   */
  recordDisconnect ({ fingerprint, sharedPromptParts }: RequestTraits, server: string, now: number): void {
    const traits = { fingerprint, sharedPromptParts }
    this.disconnectedRequests.push({ traits, server, disconnectedAt: now })
    if (this.disconnectedRequests.length > MAX_DISCONNECTED_REQUESTS) this.disconnectedRequests.shift()
  }

  /**
   * Records that a server is unreachable or was restarted, and attributes the crash to the requests whose connections
   * to it broke shortly before.
   *
   * @param server - id of the server
   * @param now - monotonic time, in milliseconds
   */
  recordServerLoss (server: string, now: number): void {
    const [ofServer, ofOthers] = [[] as DisconnectedRequest[], [] as DisconnectedRequest[]]
    for (const request of this.disconnectedRequests) (request.server === server ? ofServer : ofOthers).push(request)
    this.disconnectedRequests = ofOthers
    const crashed = ofServer.filter(({ disconnectedAt }) => now - disconnectedAt <= CRASH_WINDOW_MS)
    if (crashed.length === 0) return
    for (const { traits } of crashed) this.history.recordCrash(traits.fingerprint, server, now)
    const parts = [...new Set(crashed.flatMap(({ traits }) => traits.sharedPromptParts))]
    this.observer.serverCrashed({ server, requests: crashed.length, parts })
  }

  /**
   * @param fingerprint - fingerprint of a request
   * @param now - monotonic time, in milliseconds
   * @returns whether the request crashed so many servers that it must be refused
   */
  isPoison (fingerprint: string, now: number): boolean {
    return this.history.isPoison(fingerprint, now)
  }
}
