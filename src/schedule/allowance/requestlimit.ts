import { SECOND_MS } from '../../base/index.js'

/** The requests of this time may be granted at once, in milliseconds. */
const BURST_MS = 1_000

/**
 * Requests per second that a server gets whatever it states, since only a response shows that its limit has ended or
 * was raised.
 */
const MIN_REQUESTS_PER_S = 0.25

/**
 * Time after which a limit that was not stated again ends, in milliseconds. Servers state it in all responses, but
 * hosts of an earlier build may not report it.
 */
export const LIMIT_RETENTION_MS = 60_000

/**
 * Token bucket for the limit of requests that a server states. It begins empty, since the server may have got requests
 * through another scheduler just before.
 */
export class RequestLimit {
  /** Requests per second that are granted, over all hosts. */
  requestsPerS: number
  private tokens = 0
  private refilledAt: number
  /** When the server last stated the limit, in milliseconds of monotonic time. */
  statedAt: number

  /**
   * @param requestsPerS - the limit, over all hosts
   * @param now - monotonic time, in milliseconds
   */
  constructor (requestsPerS: number, now: number) {
    this.requestsPerS = Math.max(requestsPerS, MIN_REQUESTS_PER_S)
    this.statedAt = this.refilledAt = now
  }

  /**
   * Updates the limit; tokens that were taken stay taken.
   *
   * @param requestsPerS - the limit, over all hosts
   * @param now - monotonic time, in milliseconds
   */
  update (requestsPerS: number, now: number): void {
    this.requestsPerS = Math.max(requestsPerS, MIN_REQUESTS_PER_S)
    this.statedAt = now
  }

  /**
   * @param share - share of the limit that may be used here, 0 to 1
   * @param now - monotonic time, in milliseconds
   * @returns how many requests may be granted now
   */
  available (share: number, now: number): number {
    const ratePerS = this.requestsPerS * share
    const capacity = Math.max(1, ratePerS * BURST_MS / SECOND_MS)
    this.tokens = Math.min(capacity, this.tokens + ratePerS * (now - this.refilledAt) / SECOND_MS)
    this.refilledAt = now
    return Math.floor(this.tokens)
  }

  /** Takes the token of a request that is granted. */
  take (): void {
    this.tokens--
  }
}
