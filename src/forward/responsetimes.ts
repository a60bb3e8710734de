/** When the parts of a server's response arrived, in milliseconds of monotonic time. */
export class ResponseTimes {
  /** When the server last sent something, or the request was sent if it has sent nothing. */
  lastReceivedAt: number
  private firstReceivedAt: number | undefined
  private eventCount = 0
  private longestEventGapMs = 0

  /** @param sentAt - when the request was sent */
  constructor (readonly sentAt: number) {
    this.lastReceivedAt = sentAt
  }

  /**
   * Records an event, or the headers of a response that is not streamed.
   *
   * @param now - monotonic time, in milliseconds
   * @returns whether it is the first one
   */
  recordArrival (now: number): boolean {
    this.eventCount++
    const isFirst = this.firstReceivedAt === undefined
    if (isFirst) this.firstReceivedAt = now
    else this.longestEventGapMs = Math.max(this.longestEventGapMs, now - this.lastReceivedAt)
    this.lastReceivedAt = now
    return isFirst
  }

  /** Time from the request to the latest arrival, in milliseconds. */
  get durationMs (): number {
    return this.lastReceivedAt - this.sentAt
  }

  /** Mean time between the events, in milliseconds; undefined if there are fewer than two. */
  get meanEventGapMs (): number | undefined {
    return this.eventCount > 1 ? (this.lastReceivedAt - this.firstReceivedAt!) / (this.eventCount - 1) : undefined
  }

  /** Fields for the log; times in milliseconds. */
  get logFields (): Readonly<Record<string, unknown>> {
    return {
      firstMs: this.firstReceivedAt === undefined ? undefined : Math.round(this.firstReceivedAt - this.sentAt),
      longestPauseMs: Math.round(this.longestEventGapMs),
      events: this.eventCount
    }
  }
}
