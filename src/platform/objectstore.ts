import type { ResultAsync } from 'neverthrow'
import type { PlatformFailure } from './failure.js'

/** The platform's object store. */
export interface Objects {
  /**
   * @param name - the object's name
   * @returns its text, or undefined if there is none
   */
  get (name: string): ResultAsync<string | undefined, PlatformFailure>

  /**
   * Writes an object, replacing what had its name.
   *
   * @param name - the object's name
   * @param text - its text
   */
  put (name: string, text: string): ResultAsync<void, PlatformFailure>
}
