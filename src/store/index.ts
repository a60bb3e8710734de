/** The platform's store of rows, as the product uses it. */
export { type StoreCode, StoreFailure } from './failure.js'
export type { Row, Rows, RowWrite } from './row.js'
export type { Store } from './store.js'
export { Replica } from './replica.js'
export { CHANGES_PAUSE_MS, Follower, type StoreWatcher } from './follower.js'
