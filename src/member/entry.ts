import type { Member } from './member.js'

interface EntryBase {
  /** Unique id, by which the writer recognises its own entry. */
  readonly id: string
  /** The id of the member that wrote the entry. */
  readonly by: string
  /** When the entry was written, in milliseconds since the epoch. */
  readonly at: number
}

/** Adds a member, which accepts new work from then on. */
export interface JoinEntry extends EntryBase {
  readonly step: 'join'
  readonly member: Member
  /**
   * The id under which the same process was wrongly logged as failed. Set only once it has transferred all
   * records that it stored, so that none of them counts as lost.
   */
  readonly recovers?: string
}

/** A member stops accepting new work and drains. */
export interface LeaveEntry extends EntryBase {
  readonly step: 'leave'
  /** The member's id. */
  readonly member: string
}

/** Removes a member that has drained and transferred its records. */
export interface GoneEntry extends EntryBase {
  readonly step: 'gone'
  /** The member's id. */
  readonly member: string
}

/** Removes a member that was detected as failed. Records without another replica are lost. */
export interface FailEntry extends EntryBase {
  readonly step: 'fail'
  /** The member's id. */
  readonly member: string
}

/** One entry of the membership log. */
export type MembershipEntry = JoinEntry | LeaveEntry | GoneEntry | FailEntry
