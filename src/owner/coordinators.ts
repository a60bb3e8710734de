import type { CoordinatorReply as Ruling, RecordOperation } from '../record/index.js'

/** The coordinators of idempotency keys, on this host or on others. */
export interface KeyCoordinators {
  /**
   * Asks the coordinator of a key, according to the current view, to apply a step to the key's record.
   *
   * @param step - the step
   * @returns the coordinator's ruling; `unavailable` if it did not reply
   */
  applyStep (step: RecordOperation): Promise<Ruling>
}
