/**
 * Share of the slack of the retry budgets that this host may use. The shares of all hosts add up to 1 at most over any
 * window of the budget, although hosts restart, join and leave within it.
 */
export class RetrySlack {
  /** When each number of members was last seen, in milliseconds of monotonic time. */
  private readonly lastSeenAt = new Map<number, number>()

  /**
   * @param windowMs - length of the window of the retry budgets, in milliseconds
   * @param startedAt - start of this process, in milliseconds of monotonic time
   */
  constructor (private readonly windowMs: number, private readonly startedAt: number) {}

  /**
   * Records the number of members, and computes the share. To be called several times within the window.
   *
   * @param memberCount - number of members including this host; undefined if it is not known
   * @param now - monotonic time, in milliseconds
   * @returns the share, 0 to 1
   */
  update (memberCount: number | undefined, now: number): number {
    if (memberCount !== undefined) this.lastSeenAt.set(memberCount, now)
    for (const [count, at] of this.lastSeenAt) if (now - at > this.windowMs) this.lastSeenAt.delete(count)
    // Any number of other hosts, or an earlier process of this one, may have used the slack within the window.
    if (memberCount === undefined || now - this.startedAt < this.windowMs) return 0
    // Hosts that leave use their share until they have answered their requests.
    return 1 / Math.max(...this.lastSeenAt.keys())
  }
}
