import VError from 'verror'

/** Structured data of a failure, besides its message. */
export interface FailureDetail<Code extends string> {
  /** Kind of failure, for callers to branch on. */
  code: Code
  /** The underlying error, if any. */
  cause?: Error
}

/**
 * Base class of the error type that each layer defines. A layer wraps errors
 * of the layers below in its own type and keeps them as the cause.
 */
export class Failure<Code extends string = string> extends VError {
  /** Kind of failure. */
  readonly code: Code

  /**
   * @param name - class name of the failure, set as the error's name
   * @param detail - code and cause
   * @param message - what failed, with the value that caused it
   */
  constructor (name: string, detail: FailureDetail<Code>, message: string) {
    super({ name, cause: detail.cause }, '%s', message)
    this.code = detail.code
  }
}

/**
 * Converts any thrown value to an `Error`.
 *
 * @param thrown - the caught value
 * @returns the value itself if it is an `Error`, otherwise a new error with the value as its message
 */
export function toError (thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown))
}
