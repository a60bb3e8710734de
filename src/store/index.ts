/** Access to the platform's store of rows, and the local replicas of its tables. */
export { type StoreFailureCode, StoreFailure } from './failure.js'
export type { Row, RowBatch, RowWrite } from './row.js'
export type { Store } from './store.js'
export { eraOf, MAX_ERA, revisionOf, versionOf } from './revision.js'
export { Replica } from './replica.js'
export type { StoreObserver } from './storeobserver.js'
export { CHANGES_PAUSE_MS, Follower } from './follower.js'
