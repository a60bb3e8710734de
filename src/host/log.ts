/** Number of recent entries that a host retains for others. Hosts that lack older ones read them from the table. */
export const MAX_RETAINED_ENTRIES = 2_000

/** A log whose entries hosts also exchange directly, so that they reach all hosts while the table is unreachable. */
export interface ReplicatedLog {
  /** The revision of the last entry applied on this host. */
  readonly revision: number

  /**
   * @param revision - the last revision of the requesting host
   * @returns the retained entries after that revision, oldest first, with JSON bodies
   */
  entriesSince (revision: number): Array<{ revision: number, body: string }>

  /**
   * Applies entries received from another host. Entries that are already applied are ignored.
   *
   * @param entries - the entries, oldest first
   */
  receive (entries: ReadonlyArray<{ revision: number, body: string }>): void

  /**
   * Reads and applies the entries that the table has beyond the current revision.
   *
   * @returns whether the table answered
   */
  poll (): Promise<boolean>
}
