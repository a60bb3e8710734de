/** The record of each idempotency key: who may dispatch it, and where it was dispatched. */
export {
  BAR_MS, bar, begin, CLOCK_SKEW_MS, drop, isClosed, type KeyRecord, merge, open, type Place, type Ruling, withdraw
} from './record.js'
export { bornAt, callerKey, mintedBy, mintKey } from './key.js'
export { receive } from './reconcile.js'
export { Ledger } from './store.js'
export { KeyLock } from './lock.js'
export { type Copies, RecordFailure } from './replicas.js'
export { type Answer, Home, type Standing, type Step } from './coordinator.js'
