import type { ResultAsync } from 'neverthrow'
import type { PlatformFailure } from './failure.js'

/** Where a row stands: rows of one partition are ordered by their sort number or text. */
export interface Address {
  readonly partition: string
  readonly sort: string
}

/** One row of the table. */
export interface Row extends Address {
  /** Grows with each write of the row. */
  readonly version: number
  readonly body: string
  /** When the platform may delete the row, in seconds since the epoch. */
  readonly expires?: number
}

/** What must hold for a write to take effect. */
export const Condition = {
  /** No row stands at the address. */
  absent: 'absent',
  /** The row's version is one less than the new one. */
  next: 'next'
} as const

/** One of the values of {@link Condition}. */
export type Condition = typeof Condition[keyof typeof Condition]

/** The platform's transactional table. Reads see every write acknowledged before them. */
export interface Table {
  /**
   * @param address - where to look
   * @returns the row, or undefined if none stands there
   */
  get (address: Address): ResultAsync<Row | undefined, PlatformFailure>

  /**
   * Writes a row if the condition holds.
   *
   * @param row - the row with its new version
   * @param when - what must hold
   * @returns nothing, or a failure: after an `outage` the write may have taken effect
   */
  put (row: Row, when: Condition): ResultAsync<void, PlatformFailure>

  /**
   * Reads rows of a partition in the order of their sort texts.
   *
   * @param partition - the partition
   * @param after - only rows whose sort text is greater
   * @param limit - at most this many rows
   * @returns the rows
   */
  range (partition: string, after: string, limit: number): ResultAsync<Row[], PlatformFailure>
}
