/** An operator's order to migrate a service's requests to servers of another version. */
export interface MigrationOrder {
  readonly service: string
  /** The version to migrate to. */
  readonly version: string
  /** Time from the order until the migration must be completed or rolled back, in milliseconds. */
  readonly durationMs: number
  /** Revision of the order's row; the order with the higher revision is newer. */
  readonly revision: number
}
