import type { Membership } from './membership.js'

/** A member that is not linked for this long is evicted, in milliseconds. Longer than the restart of a host. */
const EVICTION_TIMEOUT_MS = 10_000

/** Evicts members that stay absent, so that their share of the slots and quotas is not left unused. */
export class MemberEvictor {
  /** When each absent member was first found absent, in milliseconds of monotonic time. */
  private readonly absentSince = new Map<string, number>()

  /**
   * Discards all recorded absences. To be called while this host is not the scheduler: other hosts have no links
   * to it then, whether they are absent or not.
   */
  reset (): void {
    this.absentSince.clear()
  }

  /**
   * Records which members are absent, and removes the rows of those that have been absent too long.
   *
   * @param membership - the members
   * @param linkedHosts - names of the hosts that are linked to this one, including itself
   * @param now - monotonic time, in milliseconds
   */
  evictAbsent (membership: Pick<Membership, 'list' | 'remove'>, linkedHosts: ReadonlySet<string>, now: number): void {
    const members = new Set(membership.list().map(member => member.host))
    for (const host of this.absentSince.keys()) {
      if (linkedHosts.has(host) || !members.has(host)) this.absentSince.delete(host)
    }
    for (const host of members) {
      if (linkedHosts.has(host)) continue
      const since = this.absentSince.get(host)
      if (since === undefined) {
        this.absentSince.set(host, now)
      } else if (now - since >= EVICTION_TIMEOUT_MS) {
        this.absentSince.delete(host)
        void membership.remove(host)
      }
    }
  }
}
