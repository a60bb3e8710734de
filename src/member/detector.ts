import { hash } from '../base/index.js'
import type { View } from './view.js'

/** Time between two probes of one member, in milliseconds. */
export const PROBE_PERIOD_MS = 1_000

/** A probe without an answer for this long has failed, in milliseconds. */
export const PROBE_TIMEOUT_MS = 800

/** A member not heard for this long is suspected, in milliseconds. */
export const SUSPECT_MS = 4_000

/** A host is isolated when most of those it watches were not heard for this long, in milliseconds. */
export const CONTACT_MS = 3_000

/** How many members each host watches. */
export const WATCHED = 6

/** How many members are asked to confirm a suspicion. */
export const VOUCHERS = 3

/** What a host is to do next about those it watches. */
export type Action =
  /** Probe this member. */
  | { readonly action: 'probe', readonly member: string }
  /** Ask the vouchers whether they reach the member. */
  | { readonly action: 'confirm', readonly member: string, readonly vouchers: readonly string[] }

/** What the vouchers said: how many answered, and how many of these reach the member. */
export interface Testimony {
  readonly answered: number
  readonly reached: number
}

/**
 * Watches a few members by their order of hash, so that each is watched by a
 * few whatever the number of members.
 */
export class Watch {
  private readonly heard = new Map<string, number>()
  private targets: string[] = []
  private revision = -1

  /** @param self - tells this member's id */
  constructor (private readonly self: () => string) {}

  /**
   * Takes up a view: watches the members after this one in hash order.
   *
   * @param view - the view in force
   * @param now - the present time, in milliseconds since the epoch
   */
  follow (view: View, now: number): void {
    if (view.revision === this.revision) return
    this.revision = view.revision
    const ring = [...view.members.keys()].sort((a, b) => hash(a) - hash(b) || (a < b ? -1 : 1))
    const at = ring.indexOf(this.self())
    const others = [...ring.slice(at + 1), ...ring.slice(0, Math.max(at, 0))]
    this.targets = others.slice(0, WATCHED)
    for (const id of this.heard.keys()) if (!this.targets.includes(id)) this.heard.delete(id)
    for (const id of this.targets) if (!this.heard.has(id)) this.heard.set(id, now)
  }

  /**
   * Notes a sign of life.
   *
   * @param member - the member that answered or called
   * @param now - the present time, in milliseconds since the epoch
   */
  hear (member: string, now: number): void {
    if (this.heard.has(member)) this.heard.set(member, now)
  }

  /**
   * @param now - the present time, in milliseconds since the epoch
   * @returns a probe for each watched member, and a question for each suspect
   */
  act (now: number): Action[] {
    const probes = this.targets.map((member): Action => ({ action: 'probe', member }))
    const suspects = this.targets.filter(member => now - this.heard.get(member)! > SUSPECT_MS)
    const others = this.targets.filter(member => !suspects.includes(member))
    const questions = suspects.map((member): Action =>
      ({ action: 'confirm', member, vouchers: others.slice(0, VOUCHERS) }))
    return [...probes, ...questions]
  }

  /**
   * Decides whether a suspect is to be logged as failed. A host that nobody
   * else confirms is more likely cut off itself.
   *
   * @param member - the suspect
   * @param testimony - what the vouchers said
   * @param now - the present time, in milliseconds since the epoch
   * @returns whether the member counts as dead
   */
  isDead (member: string, testimony: Testimony, now: number): boolean {
    const heard = this.heard.get(member)
    if (heard === undefined || now - heard <= SUSPECT_MS) return false
    if (testimony.reached > 0) return false
    if (this.targets.length === 1) return true
    return testimony.answered > 0 && !this.isIsolated(now)
  }

  /**
   * Tells whether this host is likely cut off from most others. Such a host
   * grants no dispatch, since others may have replaced it.
   *
   * @param now - the present time, in milliseconds since the epoch
   * @returns whether fewer than half of the watched members were heard lately
   */
  isIsolated (now: number): boolean {
    const near = this.targets.filter(member => now - this.heard.get(member)! <= CONTACT_MS).length
    return near * 2 < this.targets.length
  }
}
