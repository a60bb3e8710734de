import type { BackendServer, Evacuation } from '../fleet/index.js'
import type { HeaderNames } from '../forward/index.js'
import type { MigrationOrder, MigrationReport } from '../migration/index.js'
import type { Deployment } from '../routing/index.js'
import type { Row, RowWrite, Store } from '../store/index.js'

/** Names of the tables that a gateway follows or writes. */
export interface TableNames {
  /** Deployments and orders, written by the operators. */
  readonly operator: string
  readonly servers: string
  /** Hosts that take traffic; each host writes its own row. */
  readonly members: string
  /** Reports of the hosts to the operators. */
  readonly reports: string
}

/** What an adapter for a platform provides: the store, and the formats of its rows and headers. */
export interface Platform {
  readonly store: Store
  readonly tables: TableNames
  readonly headerNames: HeaderNames
  /** Path of the load balancer's check whether this host accepts new connections. */
  readonly readinessPath: string

  /**
   * @param row - a row of the operators' table
   * @returns the deployment, or undefined if the row holds none
   */
  readDeployment (row: Row): Deployment | undefined

  /**
   * @param row - a row of the operators' table
   * @returns the order to evacuate a data centre, or that it was taken back; undefined if the row concerns neither
   */
  readEvacuation (row: Row): Evacuation | undefined

  /**
   * @param row - a row of the operators' table
   * @returns the order to migrate a service to a version, or undefined if the row holds none
   */
  readMigrationOrder (row: Row): MigrationOrder | undefined

  /**
   * @param row - a row of the reports' table
   * @returns the report of a version migration, or undefined if the row holds none
   */
  readMigrationReport (row: Row): MigrationReport | undefined

  /**
   * @param report - the report of a version migration
   * @param expectedRevision - the revision that the report's row must have, 0 if it must not exist
   * @returns the write to the reports' table
   */
  encodeMigrationReport (report: MigrationReport, expectedRevision: number): RowWrite

  /**
   * @param row - a row of the servers' table
   * @returns the server, or undefined if the row describes no usable server
   */
  readServer (row: Row): BackendServer | undefined
}
