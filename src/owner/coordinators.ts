import type { Answer as Ruling, Step } from '../record/index.js'

/** The coordinators of idempotency keys, on this host or on others. */
export interface Homes {
  /**
   * Asks the coordinator of a key, according to the current view, to apply a step to the key's record.
   *
   * @param step - the step
   * @returns the coordinator's ruling; `unavailable` if it did not reply
   */
  take (step: Step): Promise<Ruling>
}
