import type { Result } from 'neverthrow'
import type { Failure } from '../base/index.js'
import type { ChangeStep, Configuration, ConfigurationChange } from '../config/index.js'
import type { Revisioned } from '../journal/index.js'

/** The operations of a host that the administration API exposes. */
export interface AdminContext {
  /** Returns the configuration in force. */
  readonly configuration: () => Configuration
  /** Returns the most recent configuration changes, oldest first. */
  readonly history: () => ReadonlyArray<Revisioned<ConfigurationChange>>
  /** Submits a change that is based on the given revision. Resolves to the new revision. */
  readonly submit: (
    operator: string, steps: readonly ChangeStep[], revision: number
  ) => Promise<Result<number, Failure>>
  /** Returns the state of this host. */
  readonly dump: () => object
  /** Returns the states of all hosts. Hosts that did not respond are marked as unreachable. */
  readonly dumpAll: () => Promise<object[]>
  /** Starts a graceful shutdown of this host. */
  readonly drain: () => void
  /** The key that is accepted while a new deployment has no operators yet. */
  readonly setupKey: string
}
