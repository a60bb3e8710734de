import { type Detail, Failure } from '../base/index.js'

/**
 * What a call to the platform can come to:
 * - `conflict`: the condition of a write did not hold; nothing was written.
 * - `outage`: no answer came, or the platform said that it can't answer. A
 *   write may have taken effect.
 * - `refused`: the platform understood and will not do it.
 */
export type PlatformCode = 'conflict' | 'outage' | 'refused'

/** A failed call to the platform. */
export class PlatformFailure extends Failure<PlatformCode> {
  /**
   * @param detail - the code and the cause
   * @param message - names the call and the key
   */
  constructor (detail: Detail<PlatformCode>, message: string) {
    super('PlatformFailure', detail, message)
  }
}
