import type { Answer, Step } from '../record/index.js'

/** The homes of keys, here or on other hosts. */
export interface Homes {
  /**
   * Asks a member for a step on a record.
   *
   * @param member - the member that should be the home
   * @param step - the step
   * @returns its ruling; `unavailable` if it gave none
   */
  take (member: string, step: Step): Promise<Answer>
}
