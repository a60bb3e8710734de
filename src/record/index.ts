/** Idempotency records: which attempt of a request may be dispatched, and where it was dispatched to. */
export {
  FENCE_WINDOW_MS, fenceAttempts, grantDispatch, CLOCK_SKEW_MS, abandonAttempt, isFenceCurrent, type KeyRecord,
  mergeRecords, openAttempt, type DispatchLocation, type Decision, withdrawDispatch
} from './record.js'
export { creationTime, scopedKey, mintedBy, mintKey } from './key.js'
export { reconcile } from './reconcile.js'
export { RecordStore } from './store.js'
export { KeyLock } from './lock.js'
export { type Replicas, RecordFailure } from './replicas.js'
export { type CoordinatorReply, KeyCoordinator, type CoordinatorContext, type RecordOperation } from './coordinator.js'
