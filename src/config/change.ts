import type { WorkClass } from './class.js'
import type { Operator, Organisation } from './organisation.js'
import type { BackendServer } from './server.js'
import type { Service } from './service.js'

/** The sections of a configuration, each a set of named items. */
export interface Sections {
  readonly classes: WorkClass
  readonly organisations: Organisation
  readonly operators: Operator
  readonly servers: BackendServer
  readonly services: Service
}

/** The name of a section. */
export type Section = keyof Sections

/** Puts one item, replacing what had its name. */
export type Put = { [S in Section]: { readonly step: 'put', readonly section: S, readonly item: Sections[S] } }[Section]

/** Removes one item by its name. */
export interface Removal {
  readonly step: 'remove'
  readonly section: Section
  readonly name: string
}

/** One step from a configuration to the next. */
export type Change = Put | Removal

/** Steps that come into force together. */
export interface Changes {
  /** Names the submission, so that its own row is known again. */
  readonly id: string
  /** Who submitted it. */
  readonly by: string
  /** When it was submitted, in milliseconds since the epoch. */
  readonly at: number
  readonly steps: readonly Change[]
}
