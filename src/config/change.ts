import type { WorkClass } from './class.js'
import type { Operator, Organisation } from './organisation.js'
import type { BackendServer } from './server.js'
import type { Service } from './service.js'

/** The sections of a configuration, with the type of the items in each. */
export interface Sections {
  readonly classes: WorkClass
  readonly organisations: Organisation
  readonly operators: Operator
  readonly servers: BackendServer
  readonly services: Service
}

/** The name of a section. */
export type Section = keyof Sections

/** Adds an item, or replaces the item of the same name. */
export type Put = { [S in Section]: { readonly step: 'put', readonly section: S, readonly item: Sections[S] } }[Section]

/** Removes one item by its name. */
export interface Removal {
  readonly step: 'remove'
  readonly section: Section
  readonly name: string
}

/** A single step of a configuration change. */
export type ChangeStep = Put | Removal

/** A configuration change as stored in the table: its steps are applied atomically. */
export interface ConfigurationChange {
  /** Unique id of the submission. The submitter recognises its own row in the table by it. */
  readonly id: string
  /** Name of the operator who submitted the change. */
  readonly by: string
  /** Time of submission, in milliseconds since the Unix epoch. */
  readonly at: number
  readonly steps: readonly ChangeStep[]
}
