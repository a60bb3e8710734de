import { Failure } from '../base/index.js'

/** Why a call to the store failed. */
export type StoreFailureCode =
  /** The store no longer keeps the requested history of changes. */
  | 'forgotten'
  /** A row did not have the expected revision; nothing was written. */
  | 'conflict'
  /** The store rejected the call; nothing was written. */
  | 'refused'
  /** No response arrived; a write may have been applied, or may still be applied later. */
  | 'unanswered'

/** A call to the store that failed, or whose result is unknown. */
export class StoreFailure extends Failure<StoreFailureCode> {}
