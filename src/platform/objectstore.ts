import type { ResultAsync } from 'neverthrow'
import type { PlatformFailure } from './failure.js'

/** The platform's object store. */
export interface ObjectStore {
  /**
   * @param name - key of the object in the store
   * @returns the object's text, or undefined if there is no such object
   */
  get (name: string): ResultAsync<string | undefined, PlatformFailure>

  /**
   * Writes an object, replacing any of the same name.
   *
   * @param name - key of the object in the store
   * @param text - the new content
   * @returns nothing, or a failure: after an `outage` the write may have taken effect
   */
  put (name: string, text: string): ResultAsync<void, PlatformFailure>
}
