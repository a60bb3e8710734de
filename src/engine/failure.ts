import { Failure, type FailureDetail } from '../base/index.js'

/**
 * Ways in which a call to an engine fails:
 * - `refused`: the engine did not accept the request, so it has not run.
 * - `broken`: the connection closed or timed out, or the engine failed; the request may have run.
 * - `absent`: the engine does not know the response.
 * - `foreign`: the stream contained events of another response.
 * - `invalid`: the engine rejected the request as invalid.
 */
export type EngineFailureCode = 'refused' | 'broken' | 'absent' | 'foreign' | 'invalid'

/** A failed call to an engine. */
export class EngineFailure extends Failure<EngineFailureCode> {
  /**
   * @param detail - code and cause
   * @param message - what failed, with the backend server and the response id
   */
  constructor (detail: FailureDetail<EngineFailureCode>, message: string) {
    super('EngineFailure', detail, message)
  }
}
