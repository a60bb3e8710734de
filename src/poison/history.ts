import type { CrashedRequestSummary } from './evidence.js'

/** Default number of servers that a request must have crashed before it is refused. */
export const DEFAULT_REFUSAL_THRESHOLD = 2

/** Number of requests in the history above which the least recently updated one is evicted. */
const MAX_ENTRIES = 4_096

/**
 * Greatest number of requests that are summarised for other schedulers. With 128 of them and more frequent reports, the
 * links of 22 hosts were so busy that requests for slots were not acknowledged in time.
 */
const MAX_SUMMARIES = 16

interface CrashEntry {
  readonly servers: ReadonlySet<string>
  readonly lastCrashAt: number
}

/**
 * Remembers which servers crashed while they ran a request, by the request's fingerprint. A crash also ends
 * unrelated requests on the server, so one crash is not enough: a request is poison once several servers crashed.
 * Entries expire after the retention time, and the least recently updated one is evicted when there are too many.
 */
export class CrashHistory {
  private readonly entries = new Map<string, CrashEntry>()

  /**
   * @param retentionMs - how long a request's entry is kept after its last crash, in milliseconds
   * @param threshold - number of servers that a request must have crashed to be poison
   */
  constructor (private readonly retentionMs: number, private readonly threshold = DEFAULT_REFUSAL_THRESHOLD) {}

  /** Number of requests in the history. */
  get size (): number {
    return this.entries.size
  }

  /**
   * Records that a server crashed while it ran a request.
   *
   * @param fingerprint - fingerprint of the request, which includes its body
   * @param server - id of the server
   * @param now - current time, in milliseconds of the clock that all calls use
   */
  recordCrash (fingerprint: string, server: string, now: number): void {
    this.add(fingerprint, [server], now, now)
  }

  /**
   * Adds what another history knows of a request.
   *
   * @param summary - the request and the servers that crashed
   * @param now - current time, in milliseconds of the clock that all calls use
   * @returns whether a server was not known
   */
  adopt ({ fingerprint, servers, ageMs }: CrashedRequestSummary, now: number): boolean {
    if (ageMs >= this.retentionMs) return false
    const known = this.crashedServers(fingerprint, now)
    if (servers.every(server => known.has(server))) return false
    this.add(fingerprint, servers, now - ageMs, now)
    return true
  }

  /**
   * @param now - current time, in milliseconds of the clock that all calls use
   * @returns the requests that crashed most servers, the latest first among equals, for other histories
   */
  summaries (now: number): CrashedRequestSummary[] {
    return [...this.entries].reverse().filter(([fingerprint]) => this.crashedServers(fingerprint, now).size > 0)
      .sort(([, a], [, b]) => b.servers.size - a.servers.size).slice(0, MAX_SUMMARIES)
      .map(([fingerprint, { servers, lastCrashAt }]) => ({
        fingerprint, servers: [...servers], ageMs: now - lastCrashAt
      }))
  }

  /**
   * @param fingerprint - fingerprint of a request, which includes its body
   * @param now - current time, in milliseconds of the clock that all calls use
   * @returns whether the request crashed so many servers that it must be refused
   */
  isPoison (fingerprint: string, now: number): boolean {
    return this.crashedServers(fingerprint, now).size >= this.threshold
  }

  private add (fingerprint: string, servers: readonly string[], crashedAt: number, now: number): void {
    const crashedBefore = this.crashedServers(fingerprint, now)
    const lastCrashAt = Math.max(crashedAt, this.entries.get(fingerprint)?.lastCrashAt ?? -Infinity)
    this.entries.delete(fingerprint)
    this.entries.set(fingerprint, { servers: new Set([...crashedBefore, ...servers]), lastCrashAt })
    if (this.entries.size <= MAX_ENTRIES) return
    const oldest = this.entries.keys().next().value
    if (oldest !== undefined) this.entries.delete(oldest)
  }

  private crashedServers (fingerprint: string, now: number): ReadonlySet<string> {
    const entry = this.entries.get(fingerprint)
    return entry === undefined || entry.lastCrashAt <= now - this.retentionMs ? new Set() : entry.servers
  }
}
