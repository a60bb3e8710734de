import type { Member } from './member.js'

interface Common {
  /** Names the entry, so that its writer knows it again. */
  readonly id: string
  /** The member that wrote it. */
  readonly by: string
  /** When it was written, in milliseconds since the epoch. */
  readonly at: number
}

/** A member starts to take work. */
export interface Join extends Common {
  readonly step: 'join'
  readonly member: Member
  /** A member logged as failed that this one was, if it has handed over all records it held. */
  readonly recovers?: string
}

/** A member stops taking new work. */
export interface Leave extends Common {
  readonly step: 'leave'
  readonly member: string
}

/** A member that was leaving has handed over and is gone. */
export interface Gone extends Common {
  readonly step: 'gone'
  readonly member: string
}

/** A member was found dead; what only it held is lost. */
export interface Fail extends Common {
  readonly step: 'fail'
  readonly member: string
}

/** One step of the membership log. */
export type Entry = Join | Leave | Gone | Fail
