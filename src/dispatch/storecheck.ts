/**
 * How long ago the store may have responded to the scheduler in use, in milliseconds, while other hosts rely on it to
 * reveal missed changes. A little longer than a short poll and the interval between two reports of its age.
 */
const REPORT_TIMEOUT_MS = 2_500

/**
 * How many of the first members in the ranking check the store themselves while it does not respond to the scheduler in
 * use. A few suffice, since their gossip reaches the others; more would overload the store when it recovers.
 */
const CHECKING_MEMBERS = 4

/** Decides whether a host that uses the scheduler of another host checks the store itself. */
export class StoreCheck {
  /** When the store last responded to the scheduling host, in milliseconds of monotonic time; undefined if unknown. */
  private answeredAt: number | undefined

  /** Forgets the reports, since another scheduler is in use. */
  reset (): void {
    this.answeredAt = undefined
  }

  /**
   * Records a report of the scheduling host.
   *
   * @param ageMs - time since the store last responded to it, in milliseconds; undefined if it never did
   * @param now - monotonic time, in milliseconds
   */
  record (ageMs: number | undefined, now: number): void {
    this.answeredAt = ageMs === undefined ? undefined : now - ageMs
  }

  /**
   * @param rank - index of this host in the ranking of the members, -1 if it is not listed
   * @param now - monotonic time, in milliseconds
   * @returns whether other hosts check the store
   */
  isLeftToOthers (rank: number, now: number): boolean {
    return now - (this.answeredAt ?? -Infinity) <= REPORT_TIMEOUT_MS || rank >= CHECKING_MEMBERS
  }
}
