/** Receives what a follower learns about the store. */
export interface StoreObserver {
  /** Called when a call succeeds after failed ones. */
  storeRecovered (): void

  /**
   * Called with the time of each response, before its rows are applied.
   *
   * @param storeMs - monotonic time of the store, in milliseconds
   */
  storeClockRead (storeMs: number): void

  /** Called when the store has returned from a copy, before the rows of the new era are applied. */
  eraChanged (): void

  /** Called after a list of the whole table was applied. */
  tableListed (): void
}
