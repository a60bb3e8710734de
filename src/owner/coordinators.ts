import type { CoordinatorReply, RecordOperation } from '../record/index.js'

/** The coordinators of idempotency keys, on this host or on others. */
export interface KeyCoordinators {
  /**
   * Asks the coordinator of a key, according to the current view, to apply an operation to the key's record.
   *
   * @param operation - the operation, with its key
   * @returns the coordinator's reply; its status is `unavailable` if none arrived or the coordinator could not decide
   */
  applyStep (operation: RecordOperation): Promise<CoordinatorReply>
}
