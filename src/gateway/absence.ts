import type { Membership } from './membership.js'

/** A member that was not linked for this long is taken for gone, in milliseconds: more than a restart takes. */
const GONE_MS = 10_000

/** Finds members that are gone for good, so that their part of places and allowances does not lie idle. */
export class Absence {
  private readonly missingSince = new Map<string, number>()

  /** Forgets who is missing: a host that is not asked by others has none of them linked. */
  forget (): void {
    this.missingSince.clear()
  }

  /**
   * Looks who is linked, and removes the rows of members that were not for long.
   *
   * @param membership - the members
   * @param linked - names of the hosts that are linked to this one, itself included
   * @param now - steady time, in milliseconds
   */
  look (membership: Pick<Membership, 'list' | 'remove'>, linked: ReadonlySet<string>, now: number): void {
    const members = new Set(membership.list().map(member => member.host))
    for (const host of this.missingSince.keys()) {
      if (linked.has(host) || !members.has(host)) this.missingSince.delete(host)
    }
    for (const host of members) {
      if (linked.has(host)) continue
      const since = this.missingSince.get(host)
      if (since === undefined) {
        this.missingSince.set(host, now)
      } else if (now - since >= GONE_MS) {
        this.missingSince.delete(host)
        void membership.remove(host)
      }
    }
  }
}
