import { type Detail, Failure } from '../base/index.js'

/**
 * What a call of a plain service can come to:
 * - `unsent`: the server certainly did not get the call.
 * - `broken`: the call may have been executed; no whole answer came.
 */
export type ServiceCode = 'unsent' | 'broken'

/** A failed call of a plain service. */
export class ServiceFailure extends Failure<ServiceCode> {
  /**
   * @param detail - the code and the cause
   * @param message - names the server and the call
   */
  constructor (detail: Detail<ServiceCode>, message: string) {
    super('ServiceFailure', detail, message)
  }
}
