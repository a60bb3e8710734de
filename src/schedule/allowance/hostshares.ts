/** Shares of all hosts that use this scheduler, each above or equal to 0 and up to 1. */
export interface HostShares {
  /** Those that are connected. */
  readonly connected: number
  /**
   * Those that were heard from lately and have used this scheduler for so long that no grant of another one is on its
   * way to a server. Of all schedulers together, these shares never exceed 1.
   */
  readonly settled: number
}
