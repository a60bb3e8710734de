const FAILURES_TO_EJECT = 3
const FIRST_EJECTION_MS = 2_000
const LONGEST_EJECTION_MS = 8_000

/**
 * Judges a server by what its requests come to. After several failures in a
 * row it gets no work for a while, then one request as a probe.
 */
export class Health {
  private failures = 0
  private ejections = 0
  private until = 0
  private probing = false

  /** How many requests failed in a row. */
  get streak (): number {
    return this.failures
  }

  /**
   * @param now - the present time, in milliseconds since the epoch
   * @returns whether the server may get a request
   */
  admits (now: number): boolean {
    if (this.failures < FAILURES_TO_EJECT) return true
    return now >= this.until && !this.probing
  }

  /**
   * Notes that a request goes to the server.
   *
   * @param now - the present time, in milliseconds since the epoch
   */
  sent (now: number): void {
    if (this.failures >= FAILURES_TO_EJECT && now >= this.until) this.probing = true
  }

  /** Notes that a request went well. */
  succeeded (): void {
    this.failures = 0
    this.ejections = 0
    this.probing = false
  }

  /**
   * Notes that a request failed by the server's fault.
   *
   * @param now - the present time, in milliseconds since the epoch
   */
  failed (now: number): void {
    this.failures++
    this.probing = false
    if (this.failures < FAILURES_TO_EJECT || now < this.until) return
    this.until = now + Math.min(FIRST_EJECTION_MS * 2 ** this.ejections, LONGEST_EJECTION_MS)
    this.ejections++
  }
}
