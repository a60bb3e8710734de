/** An operator's order to move a service's requests to servers of another version. */
export interface MoveOrder {
  readonly service: string
  /** The version that is moved to. */
  readonly version: string
  /** Time from the order until the move is to be done or taken back, in milliseconds. */
  readonly durationMs: number
  /** Revision of the order's row: the higher of two is newer. */
  readonly revision: number
}
