import type { Answer, Step } from '../record/index.js'

/** The homes of keys, here or on other hosts. */
export interface Homes {
  /**
   * Asks the home of a key, as of the view in force, for a step on its record.
   *
   * @param step - the step
   * @returns its ruling; `unavailable` if it gave none
   */
  take (step: Step): Promise<Answer>
}
