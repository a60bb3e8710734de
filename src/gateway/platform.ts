import type { BackendServer } from '../fleet/index.js'
import type { HeaderNames } from '../forward/index.js'
import type { MigrationOrder, MigrationReport } from '../migration/index.js'
import type { Deployment } from '../routing/index.js'
import type { Row, RowWrite, Store } from '../store/index.js'

/** Names of the tables that a gateway follows or writes. */
export interface TableNames {
  /** What operators state. */
  readonly operator: string
  readonly servers: string
  /** Hosts that take traffic; written by the hosts themselves. */
  readonly members: string
  /** What hosts report to the operators. */
  readonly reports: string
}

/** What an adapter brings: the store, and what its rows and headers mean. */
export interface Platform {
  readonly store: Store
  readonly tables: TableNames
  readonly headers: HeaderNames
  /** Path of the balancer's question whether this host takes new connections. */
  readonly readinessPath: string

  /**
   * @param row - a row of the operators' table
   * @returns the deployment, or undefined if the row holds none
   */
  readDeployment (row: Row): Deployment | undefined

  /**
   * @param row - a row of the operators' table
   * @returns the order to move a service to a version, or undefined if the row holds none
   */
  readMoveOrder (row: Row): MigrationOrder | undefined

  /**
   * @param row - a row of the reports' table
   * @returns the report of a move, or undefined if the row holds none
   */
  readMoveReport (row: Row): MigrationReport | undefined

  /**
   * @param report - the report of a move
   * @param expected - the revision that its row must have, 0 for none
   * @returns the change of the reports' table that tells it
   */
  writeMoveReport (report: MigrationReport, expected: number): RowWrite

  /**
   * @param row - a row of the servers' table
   * @returns the server, or undefined if the row names none that can be used
   */
  readServer (row: Row): BackendServer | undefined
}
