import type { Deployment } from '../routing/index.js'
import type { Row } from '../store/index.js'

/** Receives the changes of a directory. */
export interface DirectoryObserver {
  deploymentChanged (deployment: Deployment): void
  serversChanged (): void
  membersChanged (): void

  /**
   * Called with each new row of the operators' table that holds no deployment.
   *
   * @param row - the row
   * @returns whether it is an order on which hosts write reports
   */
  orderChanged (row: Row): boolean

  /**
   * Called with each new row of the reports' table.
   *
   * @param row - the row
   */
  reportChanged (row: Row): void

  /**
   * Called with the time of each response of the store.
   *
   * @param storeMs - monotonic time of the store, in milliseconds
   */
  storeClockRead (storeMs: number): void
}
