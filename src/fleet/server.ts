/**
 * State of a backend server, as it describes itself in its entry in the store. Dumps contain the fields under the same
 * names.
 */
export interface BackendServer {
  readonly id: string
  /** Start time of the server, in milliseconds since the epoch. Id, start time and address identify an incarnation. */
  readonly born: number
  readonly service: string
  /** IP address and port. */
  readonly address: string
  readonly dataCentre: string
  /** Version of its software. */
  readonly version: string
  /** Number of requests that it runs at once. */
  readonly slots: number
  readonly isDraining: boolean
  /** Remaining warm-up time, in milliseconds, during which the server is slow. */
  readonly coldMs: number
}

/**
 * Compares two states of servers. Of the remaining warm-up time, which changes with each heartbeat, only whether there
 * is any is compared.
 *
 * @param a - a server's state
 * @param b - another state
 * @returns whether both are equal
 */
export function hasSameState (a: BackendServer, b: BackendServer): boolean {
  return isSameIncarnation(a, b) && a.service === b.service && a.dataCentre === b.dataCentre &&
    a.version === b.version && a.slots === b.slots && a.isDraining === b.isDraining &&
    (a.coldMs > 0) === (b.coldMs > 0)
}

/**
 * @param a - a server's state
 * @param b - another state
 * @returns whether both belong to the same incarnation of the same server, with no restart in between
 */
export function isSameIncarnation (a: BackendServer, b: BackendServer): boolean {
  return a.id === b.id && a.born === b.born && a.address === b.address
}
