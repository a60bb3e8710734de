import { Failure } from '../base/index.js'

/** Why the store did not do a call. */
export type StoreCode =
  /** The store has no such history any more. */
  | 'forgotten'
  /** A condition did not hold. */
  | 'conflict'
  /** Nothing was done. */
  | 'refused'
  /** No answer came; a write may have been done, or may be done later. */
  | 'unanswered'

/** A call to the store that was not done, or of which that is not known. */
export class StoreFailure extends Failure<StoreCode> {}
