import { type Detail, Failure } from '../base/index.js'

/**
 * What a call to an engine can come to:
 * - `refused`: the engine certainly did not take the request.
 * - `broken`: the connection ended or fell silent; the request may have run.
 * - `absent`: the engine does not know the response.
 * - `foreign`: the stream held events of another response.
 * - `invalid`: the engine rejected the request as wrong.
 */
export type EngineCode = 'refused' | 'broken' | 'absent' | 'foreign' | 'invalid'

/** A failed call to an engine. */
export class EngineFailure extends Failure<EngineCode> {
  /**
   * @param detail - the code and the cause
   * @param message - names the server and the response
   */
  constructor (detail: Detail<EngineCode>, message: string) {
    super('EngineFailure', detail, message)
  }
}
