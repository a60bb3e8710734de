/** A backend server as it states itself. */
export interface BackendServer {
  readonly id: string
  /** When this life of the server began, in milliseconds since the epoch; with the id it names one incarnation. */
  readonly born: number
  readonly service: string
  /** IP number and port. */
  readonly address: string
  readonly dataCentre: string
  /** Version of its software. */
  readonly version: string
  /** Requests that it runs at once. */
  readonly slots: number
  readonly isDraining: boolean
  /** How much longer it stays slow after its start, in milliseconds. */
  readonly coldMs: number
}

/**
 * Compares two statements of servers but for what changes with each heartbeat.
 *
 * @param a - a statement
 * @param b - another statement
 * @returns whether they say the same
 */
export function sameStatement (a: BackendServer, b: BackendServer): boolean {
  return sameIncarnation(a, b) && a.service === b.service && a.dataCentre === b.dataCentre &&
    a.version === b.version && a.slots === b.slots && a.isDraining === b.isDraining
}

/**
 * @param a - a statement
 * @param b - another statement
 * @returns whether both come from the same life of the same server
 */
export function sameIncarnation (a: BackendServer, b: BackendServer): boolean {
  return a.id === b.id && a.born === b.born && a.address === b.address
}
