import { type DisconnectedRequest, Disconnects } from './disconnects.js'
import type { CrashEvidence } from './evidence.js'
import { CrashHistory } from './history.js'
import { type CrashObserver, NO_OBSERVER } from './observer.js'
import { PartHistory, REPORT_DELAY_MS } from './parthistory.js'
import type { RequestTraits } from './traits.js'

/** How long a crash counts against a request, in milliseconds. */
const RETENTION_MS = 120_000

/** Number of servers that a request must have crashed before it is refused. */
const REFUSAL_THRESHOLD = 3

/**
 * Detects requests that crash servers, alike or with a common prompt part. A broken connection alone is no evidence of
 * a crash: the server must be lost right after it. Servers are identified by incarnation.
 */
export class PoisonDetector {
  private readonly history = new CrashHistory(RETENTION_MS, REFUSAL_THRESHOLD)
  private readonly parts = new PartHistory()
  private readonly disconnects = new Disconnects()
  /** Increases with what is learned of whole requests. */
  private requestRevision = 0

  /** @param observer - is told of each crash and each blocked part */
  constructor (private readonly observer: CrashObserver = NO_OBSERVER) {}

  /**
   * Records a request whose connection to its server broke. Other schedulers learn of it with the next crash only:
   * many connections break at once while links are poor.
   *
   * @param request - the request
   */
  recordDisconnect (request: DisconnectedRequest): void {
    this.disconnects.record(request)
  }

  /**
   * Records that a server is lost, and attributes the crash to the requests whose connections
   * to it broke shortly before.
   *
   * @param server - incarnation of the server
   * @param now - monotonic time, in milliseconds
   */
  recordServerLoss (server: string, now: number): void {
    const requests = this.disconnects.take(server, now)
    if (requests.length > 0) this.recordCrash(server, requests, now)
  }

  /**
   * Finds the servers to which connections broke a short time ago.
   *
   * @param now - monotonic time, in milliseconds
   * @returns the incarnations of those that are not known to be lost
   */
  disconnectedServers (now: number): Set<string> {
    this.completeResolved(this.disconnects.expire(now))
    return this.disconnects.servers
  }

  /**
   * Finds out whether several connections to a server broke together.
   *
   * @param server - incarnation of the server
   * @param now - monotonic time, in milliseconds
   * @returns the time of the first break, or undefined if fewer than two requests that ran at that time broke
   */
  jointBreakAt (server: string, now: number): number | undefined {
    return this.disconnects.jointBreakAt(server, now)
  }

  /**
   * @param parts - prompt parts
   * @returns whether the connection of a request with one of them broke, and it is not known yet why
   */
  isUnresolved (parts: readonly string[]): boolean {
    return this.disconnects.includesPart(parts)
  }

  /**
   * Records that a server sent a part of a response, so that it has not crashed.
   *
   * @param server - incarnation of the server
   * @param now - monotonic time, in milliseconds
   */
  recordResponse (server: string, now: number): void {
    const isRefuted = (at: number): boolean => now - at > REPORT_DELAY_MS
    this.completeResolved(this.disconnects.resolve(each => each.server === server && isRefuted(each.disconnectedAt)))
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
    return this.parts.revision + this.requestRevision
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns all evidence, for other schedulers
   */
  evidence (now: number): CrashEvidence {
    return {
      ...this.parts.evidence(now),
      requests: this.history.summaries(now),
      disconnects: this.disconnects.summaries(now)
    }
  }

  /**
   * Adopts the evidence of another scheduler. Crashes of whole requests are added to those known here in any case:
   * nothing refutes them later, and schedulers of earlier builds do not know of them.
   *
   * @param evidence - what it knows
   * @param isReplacement - whether the other evidence gathered here is discarded, since the other scheduler is in use
   * @param now - monotonic time, in milliseconds
   */
  adopt (evidence: CrashEvidence, isReplacement: boolean, now: number): void {
    if (isReplacement) {
      this.parts.clear()
      this.disconnects.clear()
    }
    this.parts.adopt(evidence, now)
    const learned = evidence.requests.filter(request => this.history.adopt(request, now))
    if (learned.length > 0) this.requestRevision++
    for (const disconnect of evidence.disconnects) this.disconnects.adopt(disconnect, now)
  }

  /** Takes the responses of requests whose server goes on for complete, if they may be. */
  private completeResolved (requests: readonly DisconnectedRequest[]): void {
    for (const { traits, mayBeComplete } of requests) if (mayBeComplete) this.recordCompletion(traits)
  }

  private recordCrash (server: string, requests: readonly RequestTraits[], now: number): void {
    const parts = [...new Set(requests.flatMap(traits => traits.sharedPromptParts))]
    this.observer.serverCrashed({ server, requests: requests.length, parts })
    if (!this.parts.isBlocked(parts, now)) {
      this.requestRevision++
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
