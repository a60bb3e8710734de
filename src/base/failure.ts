import VError from 'verror'

/** What a failure says about itself besides its message. */
export interface Detail<Code extends string> {
  /** What kind of failure this is, for code to branch on. */
  code: Code
  /** The failure of the layer below, if one led to this. */
  cause?: Error
}

/**
 * The base of each layer's own failure. A layer turns failures of the layers
 * below into its own, keeping them as the cause.
 */
export class Failure<Code extends string = string> extends VError {
  /** What kind of failure this is. */
  readonly code: Code

  /**
   * @param name - the layer's name for its failures
   * @param detail - the code and the cause
   * @param message - says what failed and names the offending value
   */
  constructor (name: string, detail: Detail<Code>, message: string) {
    super({ name, cause: detail.cause }, '%s', message)
    this.code = detail.code
  }
}

/**
 * Turns any thrown value into an error.
 *
 * @param thrown - what was caught
 * @returns the same error, or a new one around a value that is none
 */
export function toError (thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown))
}
