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

/** In deployments of no more members than this, each host follows the store. */
const SMALL_DEPLOYMENT_MEMBERS = 12

/**
 * How many of the first members in the ranking follow the store in larger deployments, of which one is the scheduler in
 * use. The others get changes from that one. Enough that some are left if a third of all hosts lose the store.
 */
const FOLLOWING_MEMBERS = 8

/** While the store does not respond to the scheduler in use, this many members more follow it for each one that did. */
const FOLLOWING_GROWTH = 2
const GROWTH_INTERVAL_MS = 1_000
const MAX_FOLLOWING_MEMBERS = 64

/**
 * A host that no scheduler has fed for this long follows the store, in milliseconds. Longer than the interval of feeds
 * and the selection of another scheduler, so that the hosts do not all ask the store when one is lost.
 */
const FEED_TIMEOUT_MS = 2_500

/** Decides whether a host that uses the scheduler of another host checks the store itself. */
export class StoreCheck {
  /** When the store last responded to the scheduling host, in milliseconds of monotonic time; undefined if unknown. */
  private answeredAt: number | undefined
  /** When a scheduler last fed this host, in milliseconds of monotonic time; undefined if none did. */
  private fedAt: number | undefined
  /** Index of this host in the ranking of the members, -1 if it is not listed, and their number. */
  private rank = -1
  private memberCount = 0

  /**
   * @param rank - index of this host in the ranking of the members, -1 if it is not listed
   * @param memberCount - number of the members
   */
  setMembers (rank: number, memberCount: number): void {
    this.rank = rank
    this.memberCount = memberCount
  }

  /** Forgets the reports on the store, since another scheduler is in use. */
  reset (): void {
    this.answeredAt = undefined
  }

  /**
   * Records that the scheduler in use has sent the changes that it knows of.
   *
   * @param now - monotonic time, in milliseconds
   */
  recordFeed (now: number): void {
    this.fedAt = now
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns whether this host need not follow the store, since others do and the scheduler in use feeds it
   */
  isFollowingLeftToOthers (now: number): boolean {
    if (this.memberCount <= SMALL_DEPLOYMENT_MEMBERS || this.rank < 0) return false
    if (now - (this.fedAt ?? -Infinity) > FEED_TIMEOUT_MS) return false
    const unansweredMs = now - (this.answeredAt ?? this.fedAt!) - REPORT_TIMEOUT_MS
    const growths = Math.max(0, Math.ceil(unansweredMs / GROWTH_INTERVAL_MS))
    return this.rank >= Math.min(FOLLOWING_MEMBERS * FOLLOWING_GROWTH ** growths, MAX_FOLLOWING_MEMBERS)
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

  /** Whether a scheduler may feed this host, as far as the members are known. */
  get mayBeFed (): boolean {
    return this.memberCount <= 1 || this.memberCount > SMALL_DEPLOYMENT_MEMBERS
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns whether other hosts check the store
   */
  isLeftToOthers (now: number): boolean {
    return now - (this.answeredAt ?? -Infinity) <= REPORT_TIMEOUT_MS || this.rank >= CHECKING_MEMBERS
  }
}
