/** Idempotency records: which attempt of a request may be dispatched, and where it was dispatched to. */
export {
  BAR_MS, bar, begin, CLOCK_SKEW_MS, abandonAttempt, isClosed, type KeyRecord, merge, open, type Place, type Decision,
  withdraw
} from './record.js'
export { creationTime, callerKey, mintedBy, mintKey } from './key.js'
export { receive } from './reconcile.js'
export { Ledger } from './store.js'
export { KeyLock } from './lock.js'
export { type Copies, RecordFailure } from './replicas.js'
export { type Answer, Home, type CoordinatorContext, type Step } from './coordinator.js'
