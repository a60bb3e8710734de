/** One row of the store. */
export interface Row {
  readonly table: string
  readonly key: string
  /** Undefined for a row that was removed. */
  readonly value: Buffer | undefined
  /** Era and version of the store, from one counter for all tables; of two revisions the higher is the newer. */
  readonly revision: number
}

/** Rows that the store returned, and the state of the store when it read them. */
export interface RowBatch {
  readonly rows: readonly Row[]
  /** Newest revision of the store when the rows were read. */
  readonly revision: number
  /** Monotonic time of the store when the rows were read, in milliseconds. */
  readonly storeMs: number
}

/** One write of a transaction. */
export interface RowWrite {
  readonly table: string
  readonly key: string
  /** Undefined to remove the row. */
  readonly value: Buffer | undefined
  /** The revision that the row must have, 0 if it must not exist; omitted to write unconditionally. */
  readonly expectedRevision?: number
}
