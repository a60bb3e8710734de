import type { CrashEvidence } from './evidence.js'
import { CrashHistory } from './history.js'
import { type CrashObserver, NO_OBSERVER } from './observer.js'
import { PartHistory, REPORT_DELAY_MS } from './parthistory.js'

/**
 * A server lost within this time after a connection to it broke is assumed to have crashed, in milliseconds. Longer
 * than the entry of a crashed server remains in the store.
 */
const CRASH_WINDOW_MS = 8_000

/** Connections to a server that break within this time are assumed to break together, in milliseconds. */
const JOINT_BREAK_MS = 250

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
  readonly grantedAt: number
  readonly disconnectedAt: number
  /** Whether the response may be complete, since the end of the connection is also the end of the response. */
  readonly mayBeComplete: boolean
}

/**
 * Detects requests that crash servers, alike or with a common prompt part. A broken connection alone is no evidence of
 * a crash: the server must be lost right after it. Servers are identified by incarnation.
 */
export class PoisonDetector {
  private readonly history = new CrashHistory(RETENTION_MS, REFUSAL_THRESHOLD)
  private readonly parts = new PartHistory()
  private disconnectedRequests: DisconnectedRequest[] = []

  /** @param observer - is told of each crash and each blocked part */
  constructor (private readonly observer: CrashObserver = NO_OBSERVER) {}

  /**
   * Records a request whose connection to its server broke.
   *
   * @param traits - what identifies the request
   * @param server - incarnation of the server that ran it
   * @param grantedAt - when it was granted the server, monotonic time in milliseconds
   * @param mayBeComplete - whether the end of the connection is also the end of the response; it is taken for complete
   *   unless the server is lost
   * @param now - monotonic time, in milliseconds
   */
  recordDisconnect (
    traits: RequestTraits, server: string, grantedAt: number, mayBeComplete: boolean, now: number
  ): void {
    this.disconnectedRequests.push({ traits, server, grantedAt, disconnectedAt: now, mayBeComplete })
    if (this.disconnectedRequests.length > MAX_DISCONNECTED_REQUESTS) this.disconnectedRequests.shift()
  }

  /**
   * Records that a server is lost, and attributes the crash to the requests whose connections
   * to it broke shortly before.
   *
   * @param server - incarnation of the server
   * @param now - monotonic time, in milliseconds
   */
  recordServerLoss (server: string, now: number): void {
    const [ofServer, ofOthers] = [[] as DisconnectedRequest[], [] as DisconnectedRequest[]]
    for (const request of this.disconnectedRequests) (request.server === server ? ofServer : ofOthers).push(request)
    this.disconnectedRequests = ofOthers
    const requests = ofServer.filter(({ disconnectedAt }) => now - disconnectedAt <= CRASH_WINDOW_MS)
    if (requests.length > 0) this.recordCrash(server, requests.map(({ traits }) => traits), now)
  }

  /**
   * Finds the servers to which connections broke a short time ago.
   *
   * @param now - monotonic time, in milliseconds
   * @returns the incarnations of those that are not known to be lost
   */
  disconnectedServers (now: number): Set<string> {
    if (this.disconnectedRequests.length === 0) return new Set()
    this.resolveDisconnects(each => now - each.disconnectedAt > CRASH_WINDOW_MS)
    return new Set(this.disconnectedRequests.filter(each => !each.mayBeComplete).map(({ server }) => server))
  }

  /**
   * Finds out whether several connections to a server broke together.
   *
   * @param server - incarnation of the server
   * @param now - monotonic time, in milliseconds
   * @returns the time of the first break, or undefined if fewer than two requests that ran at that time broke
   */
  jointBreakAt (server: string, now: number): number | undefined {
    const broken = this.disconnectedRequests.filter(each => {
      return each.server === server && !each.mayBeComplete && now - each.disconnectedAt <= JOINT_BREAK_MS
    })
    const firstAt = Math.min(...broken.map(({ disconnectedAt }) => disconnectedAt))
    return broken.filter(({ grantedAt }) => grantedAt < firstAt).length < 2 ? undefined : firstAt
  }

  /**
   * @param parts - prompt parts
   * @returns whether the connection of a request with one of them broke, and it is not known yet why
   */
  isUnresolved (parts: readonly string[]): boolean {
    return this.disconnectedRequests.some(({ traits, mayBeComplete }) => {
      return !mayBeComplete && traits.sharedPromptParts.some(part => parts.includes(part))
    })
  }

  /**
   * Records that a server sent a part of a response, so that it has not crashed.
   *
   * @param server - incarnation of the server
   * @param now - monotonic time, in milliseconds
   */
  recordResponse (server: string, now: number): void {
    this.resolveDisconnects(each => each.server === server && now - each.disconnectedAt > REPORT_DELAY_MS)
    this.reportUnblocked(this.parts.recordResponse(server, now))
  }

  /**
   * Records a complete response, which clears the prompt parts of its request.
   *
   * @param traits - what identifies the request
   */
  recordCompletion ({ sharedPromptParts }: RequestTraits): void {
    if (sharedPromptParts.length > 0) this.reportUnblocked(this.parts.recordCompletion(sharedPromptParts))
  }

  /**
   * @param traits - what identifies a request
   * @param now - monotonic time, in milliseconds
   * @returns whether the request, or others with one of its prompt parts, crashed so many servers that it is refused
   */
  isPoison ({ fingerprint, sharedPromptParts }: RequestTraits, now: number): boolean {
    return this.history.isPoison(fingerprint, now) || this.parts.isBlocked(sharedPromptParts, now)
  }

  /**
   * @param traits - what identifies a request
   * @returns the prompt parts that may have crashed a server; requests with them are to be run one at a time
   */
  suspectParts ({ sharedPromptParts }: RequestTraits): string[] {
    return sharedPromptParts.filter(part => this.parts.isSuspect(part))
  }

  /** Increases with each change of the evidence. */
  get revision (): number {
    return this.parts.revision
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the crashes and blocked prompt parts, for other schedulers
   */
  evidence (now: number): CrashEvidence {
    return this.parts.evidence(now)
  }

  /**
   * Adopts the evidence of another scheduler.
   *
   * @param evidence - its crashes and blocked prompt parts
   * @param isReplacement - whether the evidence gathered here is discarded, since the other scheduler is in use
   * @param now - monotonic time, in milliseconds
   */
  adopt (evidence: CrashEvidence, isReplacement: boolean, now: number): void {
    if (isReplacement) this.parts.clear()
    this.parts.adopt(evidence, now)
  }

  /** Drops requests whose server goes on. */
  private resolveDisconnects (isResolved: (request: DisconnectedRequest) => boolean): void {
    const resolved = this.disconnectedRequests.filter(isResolved)
    if (resolved.length === 0) return
    this.disconnectedRequests = this.disconnectedRequests.filter(each => !resolved.includes(each))
    for (const { traits, mayBeComplete } of resolved) if (mayBeComplete) this.recordCompletion(traits)
  }

  private recordCrash (server: string, requests: readonly RequestTraits[], now: number): void {
    const parts = [...new Set(requests.flatMap(traits => traits.sharedPromptParts))]
    this.observer.serverCrashed({ server, requests: requests.length, parts })
    if (!this.parts.isBlocked(parts, now)) {
      for (const { fingerprint } of requests) this.history.recordCrash(fingerprint, server, now)
    }
    // A request that crashes servers by itself does not accuse its prompt parts.
    if (requests.some(({ fingerprint }) => this.history.isPoison(fingerprint, now))) return
    for (const part of this.parts.recordCrash(server, parts, now)) this.observer.partBlocked(part)
  }

  private reportUnblocked (parts: readonly string[]): void {
    for (const part of parts) this.observer.partUnblocked(part)
  }
}
