/** Plain services: calls that may be retried, and calls that are executed at most once. */
export { type ServiceFailureCode, ServiceFailure } from './failure.js'
export { type ForwardedCall, type ServiceAnswer, ServiceClient } from './client.js'
export { WorkerPool } from './pool.js'
export { RetryBudget } from './budget.js'
export type { CallOutcome } from './outcome.js'
export { RetryingExecutor } from './retrying.js'
export { type AtMostOnceCall, AtMostOnceExecutor } from './atmostonce.js'
