/** Faults that an engine stand-in simulates; set at run time by way of `/control`. */
export interface EngineFaults {
  /** Factor applied to the duration of batch steps. */
  slow: number
  /** No tokens are generated, open streams stall, and only `/control` and `/ran` are answered. */
  frozen: boolean
  /** New requests are rejected with status 503. */
  refuse: boolean
  /** Each stream is disconnected after this many events; 0 for never. */
  dropEvery: number
  /** Events that are sent together are sent in reverse order. */
  reorder: boolean
  /** Each event is sent twice. */
  double: boolean
  /** Events carry the id of another response, if there is one. */
  swap: boolean
  /** Streams end properly after this many events, without the final event; 0 for never. */
  truncateAfter: number
  /** A request whose input contains this text makes the process exit with status 1; empty for none. */
  poison: string
}

/** Returns the initial state, without faults. */
export function createDefaultFaults (): EngineFaults {
  return {
    slow: 1,
    frozen: false,
    refuse: false,
    dropEvery: 0,
    reorder: false,
    double: false,
    swap: false,
    truncateAfter: 0,
    poison: ''
  }
}
