/** How many of the latest entries a host keeps for others; who is further behind reads the table. */
export const KEPT_ENTRIES = 2_000

/** A log whose revisions spread between hosts, also while the table is out of reach. */
export interface Log {
  /** The revision in force here. */
  readonly revision: number

  /**
   * @param revision - the last revision the asker has
   * @returns the entries after it, oldest first, as JSON
   */
  since (revision: number): Array<{ revision: number, body: string }>

  /**
   * Applies entries had from another host. Entries already applied do nothing.
   *
   * @param entries - the entries, oldest first
   */
  receive (entries: ReadonlyArray<{ revision: number, body: string }>): void

  /**
   * Reads on from the table.
   *
   * @returns whether the table answered
   */
  poll (): Promise<boolean>
}
