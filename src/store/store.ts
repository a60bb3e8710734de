import type { Result } from 'neverthrow'
import type { StoreFailure } from './failure.js'
import type { RowBatch, RowWrite } from './row.js'

/** The platform's store of rows. */
export interface Store {
  /**
   * Reads a whole table.
   *
   * @param table - name of the table
   * @param timeoutMs - how long to wait for the response, in milliseconds
   * @returns the rows in the order of their keys, and the revision from which changes are to be read
   */
  list (table: string, timeoutMs: number): Promise<Result<RowBatch, StoreFailure>>

  /**
   * Waits for changes of a table (long polling).
   *
   * @param table - name of the table
   * @param after - returns only changes newer than this revision
   * @param waitMs - how long the store may hold the call while there are no changes, in milliseconds
   * @param timeoutMs - how long to wait for the response, in milliseconds
   * @param signal - aborts the call
   * @returns the changes in the order of their revisions; none if there were none within the wait
   */
  awaitChanges (
    table: string, after: number, waitMs: number, timeoutMs: number, signal: AbortSignal
  ): Promise<Result<RowBatch, StoreFailure>>

  /**
   * Writes rows in one transaction: either all writes are applied or none.
   *
   * @param writes - the writes
   * @param timeoutMs - how long to wait for the response, in milliseconds; a long time if omitted
   * @returns the new revision, or a failure: `conflict` if a row did not have the expected revision
   */
  write (writes: readonly RowWrite[], timeoutMs?: number): Promise<Result<number, StoreFailure>>
}
