import type { Result } from 'neverthrow'
import type { StoreFailure } from './failure.js'
import type { Rows, RowWrite } from './row.js'

/** The platform's store of rows. */
export interface Store {
  /**
   * Reads a whole table as of one moment.
   *
   * @param table - its name
   * @param answerMs - how long an answer may take, in milliseconds
   * @returns the rows in the order of their keys
   */
  list (table: string, answerMs: number): Promise<Result<Rows, StoreFailure>>

  /**
   * Waits for changes of a table.
   *
   * @param table - its name
   * @param after - the revision up to which changes are known
   * @param waitMs - the longest wait at the store, in milliseconds
   * @param signal - ends the call
   * @returns the changes in order; none if the wait passed without any
   */
  changes (table: string, after: number, waitMs: number, signal: AbortSignal): Promise<Result<Rows, StoreFailure>>

  /**
   * Writes rows, all or none.
   *
   * @param writes - the changes, in one transaction
   * @param answerMs - how long the answer may take, in milliseconds; a long time if left out
   * @returns the new revision; on a conflict the failure
   */
  write (writes: readonly RowWrite[], answerMs?: number): Promise<Result<number, StoreFailure>>
}
