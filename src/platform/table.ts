import type { ResultAsync } from 'neverthrow'
import type { PlatformFailure } from './failure.js'

/** Primary key of a row. */
export interface RowKey {
  readonly partition: string
  /** Orders the rows of a partition. */
  readonly sortKey: string
}

/** One row of the table. */
export interface Row extends RowKey {
  /** Raised by one with each write of the row. */
  readonly version: number
  readonly body: string
  /** Time from which the platform may delete the row, in seconds since the epoch. */
  readonly expiresAtS?: number
}

/** Condition under which a write takes effect. */
export const WriteCondition = {
  /** No row has the key. */
  absent: 'absent',
  /** The stored row's version is one less than that of the written row. */
  nextVersion: 'next'
} as const

/** One of the values of {@link WriteCondition}. */
export type WriteCondition = typeof WriteCondition[keyof typeof WriteCondition]

/** The platform's transactional table. Reads are strongly consistent: they see every write acknowledged before. */
export interface Table {
  /**
   * @param key - primary key of the row
   * @returns the row, or undefined if there is none
   */
  get (key: RowKey): ResultAsync<Row | undefined, PlatformFailure>

  /**
   * Writes a row if the condition holds.
   *
   * @param row - the row with its new version
   * @param condition - compared with the stored row; `conflict` if it does not hold
   * @returns nothing, or a failure: after an `outage` the write may have taken effect
   */
  put (row: Row, condition: WriteCondition): ResultAsync<void, PlatformFailure>

  /**
   * Reads rows of a partition in the order of their sort keys.
   *
   * @param partition - partition key of the rows
   * @param after - exclusive lower bound of the sort key
   * @param limit - maximum number of rows
   * @returns the rows, in ascending order
   */
  query (partition: string, after: string, limit: number): ResultAsync<Row[], PlatformFailure>
}
