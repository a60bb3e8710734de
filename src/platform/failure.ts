import { Failure, type FailureDetail } from '../base/index.js'

/**
 * Why a call to the platform failed:
 * - `conflict`: the condition of a write did not hold; nothing was written.
 * - `outage`: no response came, or the platform reported a server error or
 *   throttling. A write may have taken effect.
 * - `refused`: the platform rejected the call as one that it will not execute.
 */
export type PlatformFailureCode = 'conflict' | 'outage' | 'refused'

/** A failed call to the platform. */
export class PlatformFailure extends Failure<PlatformFailureCode> {
  /**
   * @param detail - the failure's code and, if there is one, the error that caused it
   * @param message - what failed, with the name of the call and its key
   */
  constructor (detail: FailureDetail<PlatformFailureCode>, message: string) {
    super('PlatformFailure', detail, message)
  }
}
