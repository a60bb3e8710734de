import { Failure, type FailureDetail } from '../base/index.js'

/**
 * How a call of a plain service can fail:
 * - `unsent`: the worker certainly did not receive the call.
 * - `broken`: the worker may have executed the call, but no complete answer arrived.
 */
export type ServiceFailureCode = 'unsent' | 'broken'

/** A failed call of a plain service. */
export class ServiceFailure extends Failure<ServiceFailureCode> {
  /**
   * @param detail - the code and, if there is one, the error that caused the failure
   * @param message - names the worker and the call
   */
  constructor (detail: FailureDetail<ServiceFailureCode>, message: string) {
    super('ServiceFailure', detail, message)
  }
}
