/** One row as the store tells it. */
export interface Row {
  readonly table: string
  readonly key: string
  /** Undefined for a row that was removed. */
  readonly value: Buffer | undefined
  /** Comes from one counter over all rows: the higher of two is newer. */
  readonly revision: number
}

/** Rows, and the store's newest revision when they were read. */
export interface Rows {
  readonly rows: readonly Row[]
  readonly revision: number
  /** The store's steady clock when they were read, in milliseconds. */
  readonly storeMs: number
}

/** One change of a transaction. */
export interface RowWrite {
  readonly table: string
  readonly key: string
  /** Undefined to remove the row. */
  readonly value: Buffer | undefined
  /** The revision that the row must have, 0 for none; left out for any. */
  readonly expected?: number
}
