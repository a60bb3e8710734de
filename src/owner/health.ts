/** Number of consecutive failures after which a server is ejected. */
const EJECTION_FAILURES = 3
const MIN_EJECTION_MS = 2_000
const MAX_EJECTION_MS = 8_000

/**
 * Passive health check of a server, based on the outcomes of its requests.
 * After several consecutive failures the server is ejected: it gets no requests
 * for a while, then a single one as a probe. The time doubles with each
 * ejection until a request succeeds.
 */
export class Health {
  private failureCount = 0
  private ejectionCount = 0
  private ejectedUntil = 0
  private isProbing = false

  /** Number of consecutive failures. */
  get consecutiveFailures (): number {
    return this.failureCount
  }

  /**
   * @param now - the current time, in milliseconds since the epoch
   * @returns whether the server may get a request
   */
  allowsRequest (now: number): boolean {
    if (this.failureCount < EJECTION_FAILURES) return true
    return now >= this.ejectedUntil && !this.isProbing
  }

  /**
   * Records that a request is sent to the server.
   *
   * @param now - the current time, in milliseconds since the epoch
   */
  recordDispatch (now: number): void {
    if (this.failureCount >= EJECTION_FAILURES && now >= this.ejectedUntil) this.isProbing = true
  }

  /** Records that the server handled a request. */
  recordSuccess (): void {
    this.failureCount = 0
    this.ejectionCount = 0
    this.isProbing = false
  }

  /**
   * Records that a request failed because of the server.
   *
   * @param now - the current time, in milliseconds since the epoch
   */
  recordFailure (now: number): void {
    this.failureCount++
    this.isProbing = false
    if (this.failureCount < EJECTION_FAILURES || now < this.ejectedUntil) return
    this.ejectedUntil = now + Math.min(MIN_EJECTION_MS * 2 ** this.ejectionCount, MAX_EJECTION_MS)
    this.ejectionCount++
  }
}
