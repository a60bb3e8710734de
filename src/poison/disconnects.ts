import type { DisconnectSummary } from './evidence.js'
import type { RequestTraits } from './traits.js'

/**
 * A server lost within this time after a connection to it broke is assumed to have crashed, in milliseconds. Longer
 * than the entry of a crashed server remains in the store.
 */
const CRASH_WINDOW_MS = 8_000

/** Connections to a server that break within this time are assumed to break together, in milliseconds. */
const JOINT_BREAK_MS = 250

/** Number of requests with a broken connection that are kept in case their server is found lost. */
const MAX_REQUESTS = 1_024

/** Greatest number of requests that are summarised for other schedulers, the latest ones; few, as links may be slow. */
const MAX_SUMMARIES = 8

/** A request whose connection to its server broke. */
export interface DisconnectedRequest {
  readonly traits: RequestTraits
  /** Incarnation of the server. */
  readonly server: string
  /** When it was granted the server, monotonic time in milliseconds. */
  readonly grantedAt: number
  /** When the connection broke, monotonic time in milliseconds. */
  readonly disconnectedAt: number
  /**
   * Whether the response may be complete, since the end of the connection is also the end of the response; it is taken
   * for complete unless the server is lost.
   */
  readonly mayBeComplete: boolean
}

/** The requests whose connection to their server broke, while it is not known whether the server crashed. */
export class Disconnects {
  private requests: DisconnectedRequest[] = []

  /** @param request - a request whose connection broke */
  record (request: DisconnectedRequest): void {
    this.requests.push(request)
    if (this.requests.length > MAX_REQUESTS) this.requests.shift()
  }

  /**
   * Removes the requests of a server that is lost.
   *
   * @param server - incarnation of the server
   * @param now - monotonic time, in milliseconds
   * @returns what identifies those that broke so recently that the server has probably crashed
   */
  take (server: string, now: number): RequestTraits[] {
    const taken = this.resolve(each => each.server === server)
    return taken.filter(each => now - each.disconnectedAt <= CRASH_WINDOW_MS).map(({ traits }) => traits)
  }

  /**
   * Removes requests whose server goes on.
   *
   * @param isResolved - whether the server of a request does so
   * @returns the removed requests
   */
  resolve (isResolved: (request: DisconnectedRequest) => boolean): DisconnectedRequest[] {
    const resolved = this.requests.filter(isResolved)
    if (resolved.length > 0) this.requests = this.requests.filter(each => !resolved.includes(each))
    return resolved
  }

  /**
   * Removes the requests whose server was not lost in time.
   *
   * @param now - monotonic time, in milliseconds
   * @returns the removed requests
   */
  expire (now: number): DisconnectedRequest[] {
    return this.resolve(each => now - each.disconnectedAt > CRASH_WINDOW_MS)
  }

  /** Incarnations of the servers of all requests without a complete response. */
  get servers (): Set<string> {
    return new Set(this.requests.filter(each => !each.mayBeComplete).map(({ server }) => server))
  }

  /**
   * Finds out whether several connections to a server broke together.
   *
   * @param server - incarnation of the server
   * @param now - monotonic time, in milliseconds
   * @returns the time of the first break, or undefined if fewer than two requests that ran at that time broke
   */
  jointBreakAt (server: string, now: number): number | undefined {
    const broken = this.requests.filter(each => {
      return each.server === server && !each.mayBeComplete && now - each.disconnectedAt <= JOINT_BREAK_MS
    })
    const firstAt = Math.min(...broken.map(({ disconnectedAt }) => disconnectedAt))
    return broken.filter(({ grantedAt }) => grantedAt < firstAt).length < 2 ? undefined : firstAt
  }

  /**
   * @param parts - prompt parts
   * @returns whether a request with one of them has no complete response
   */
  includesPart (parts: readonly string[]): boolean {
    return this.requests.some(({ traits, mayBeComplete }) => {
      return !mayBeComplete && traits.sharedPromptParts.some(part => parts.includes(part))
    })
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the latest requests without a complete response, for other schedulers
   */
  summaries (now: number): DisconnectSummary[] {
    return this.requests.filter(each => !each.mayBeComplete).slice(-MAX_SUMMARIES).map(each => ({
      fingerprint: each.traits.fingerprint,
      parts: each.traits.sharedPromptParts,
      server: each.server,
      grantedAgeMs: now - each.grantedAt,
      ageMs: now - each.disconnectedAt
    }))
  }

  /**
   * Adds a request of another scheduler unless one like it is known from the same server: several hosts hand over what
   * they know of one scheduler.
   *
   * @param summary - the request
   * @param now - monotonic time, in milliseconds
   */
  adopt ({ fingerprint, parts, server, grantedAgeMs, ageMs }: DisconnectSummary, now: number): void {
    const isKnown = this.requests.some(each => each.server === server && each.traits.fingerprint === fingerprint)
    if (isKnown || ageMs > CRASH_WINDOW_MS) return
    this.record({
      traits: { fingerprint, sharedPromptParts: parts },
      server,
      grantedAt: now - grantedAgeMs,
      disconnectedAt: now - ageMs,
      mayBeComplete: false
    })
  }

  /** Forgets all requests. */
  clear (): void {
    this.requests = []
  }
}
