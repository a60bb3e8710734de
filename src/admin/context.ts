import type { Result } from 'neverthrow'
import type { Failure } from '../base/index.js'
import type { Change, Changes, Configuration } from '../config/index.js'
import type { Stamped } from '../journal/index.js'

/** What the administration API works with. */
export interface AdminContext {
  readonly configuration: () => Configuration
  readonly history: () => ReadonlyArray<Stamped<Changes>>
  /** Appends a change; answers with the new revision. */
  readonly submit: (by: string, steps: readonly Change[], revision: number) => Promise<Result<number, Failure>>
  /** The state of this host. */
  readonly dump: () => object
  /** The states of all hosts; a host out of reach is told as such. */
  readonly dumpAll: () => Promise<object[]>
  /** Has this host stop as planned. */
  readonly drain: () => void
  /** The key of whoever sets up a deployment that has no operators yet. */
  readonly setupKey: string
}
