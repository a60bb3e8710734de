import { hash } from '../base/index.js'
import type { MembershipView } from './view.js'

/** Interval between two probes of a member, in milliseconds. */
export const PROBE_PERIOD_MS = 1_000

/** A probe has failed if no reply arrives within this time, in milliseconds. */
export const PROBE_TIMEOUT_MS = 800

/** A member is suspected if there was no contact with it for this long, in milliseconds. */
export const SUSPECT_TIMEOUT_MS = 4_000

/** A monitored member without contact for this long counts towards the isolation of this host, in milliseconds. */
export const CONTACT_TIMEOUT_MS = 3_000

/** How many members each host monitors at most. */
export const MAX_MONITORED_MEMBERS = 6

/** How many members are asked at most to probe a suspect indirectly. */
export const MAX_INDIRECT_PROBERS = 3

/** What a host is to do next to check the members that it monitors. */
export type ProbeAction =
  /** Probe the member directly. */
  | { readonly action: 'probe', readonly member: string }
  /** Ask other members to probe the suspected member. */
  | { readonly action: 'confirm', readonly member: string, readonly probers: readonly string[] }

/** Results of the indirect probes of one suspect. */
export interface IndirectProbeResults {
  /** How many of the members that were asked to probe the suspect replied. */
  readonly answered: number
  /** How many of these reached the suspect. */
  readonly reached: number
}

/**
 * A failure detector with direct and indirect probes, similar to SWIM. Each
 * host monitors its successors in hash order, so that the number of hosts that
 * monitor a member does not grow with the number of members.
 */
export class FailureDetector {
  /** When each monitored member was last in contact, in milliseconds since the epoch. */
  private readonly lastContact = new Map<string, number>()
  private monitored: string[] = []
  private revision = -1

  /** @param self - returns this member's id */
  constructor (private readonly self: () => string) {}

  /**
   * Selects the members to monitor: those that follow this one in hash order.
   *
   * @param view - the membership view in force
   * @param now - the current time, in milliseconds since the epoch
   */
  updateView (view: MembershipView, now: number): void {
    if (view.revision === this.revision) return
    this.revision = view.revision
    const ring = [...view.members.keys()].sort((a, b) => hash(a) - hash(b) || (a < b ? -1 : 1))
    const index = ring.indexOf(this.self())
    const others = [...ring.slice(index + 1), ...ring.slice(0, Math.max(index, 0))]
    this.monitored = others.slice(0, MAX_MONITORED_MEMBERS)
    for (const id of this.lastContact.keys()) if (!this.monitored.includes(id)) this.lastContact.delete(id)
    for (const id of this.monitored) if (!this.lastContact.has(id)) this.lastContact.set(id, now)
  }

  /**
   * Records a contact with a member. Members that are not monitored are ignored.
   *
   * @param member - the id of a member that replied to a probe or sent one
   * @param now - the current time, in milliseconds since the epoch
   */
  recordContact (member: string, now: number): void {
    if (this.lastContact.has(member)) this.lastContact.set(member, now)
  }

  /**
   * @param now - the current time, in milliseconds since the epoch
   * @returns a direct probe of each monitored member, and an indirect probe of each suspect
   */
  nextProbes (now: number): ProbeAction[] {
    const probes = this.monitored.map((member): ProbeAction => ({ action: 'probe', member }))
    const suspects = this.monitored.filter(member => now - this.lastContact.get(member)! > SUSPECT_TIMEOUT_MS)
    const others = this.monitored.filter(member => !suspects.includes(member))
    const indirectProbes = suspects.map((member): ProbeAction =>
      ({ action: 'confirm', member, probers: others.slice(0, MAX_INDIRECT_PROBERS) }))
    return [...probes, ...indirectProbes]
  }

  /**
   * Decides whether a suspect is to be logged as failed. If no other member
   * replied, it is more likely that this host is cut off itself.
   *
   * @param member - the suspect's id
   * @param results - the results of the indirect probes
   * @param now - the current time, in milliseconds since the epoch
   * @returns whether the member is considered failed
   */
  hasFailed (member: string, results: IndirectProbeResults, now: number): boolean {
    const lastContact = this.lastContact.get(member)
    if (lastContact === undefined || now - lastContact <= SUSPECT_TIMEOUT_MS) return false
    if (results.reached > 0) return false
    if (this.monitored.length === 1) return true
    return results.answered > 0 && !this.isIsolated(now)
  }

  /**
   * Tells whether this host is likely cut off from most other hosts. An
   * isolated host grants no dispatch, because the others may have logged it as
   * failed and replaced it.
   *
   * @param now - the current time, in milliseconds since the epoch
   * @returns whether there was recent contact with fewer than half of the monitored members
   */
  isIsolated (now: number): boolean {
    const inContact = this.monitored
      .filter(member => now - this.lastContact.get(member)! <= CONTACT_TIMEOUT_MS).length
    return inContact * 2 < this.monitored.length
  }
}
