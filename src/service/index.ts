/** Plain services: calls that may be repeated, and calls that are executed at most once. */
export { type ServiceCode, ServiceFailure } from './failure.js'
export { type Forward, type ServiceAnswer, ServiceClient } from './client.js'
export { Pool } from './pool.js'
export { RetryBudget } from './budget.js'
export type { CallOutcome } from './outcome.js'
export { Repeater } from './retrying.js'
export { type AtMostOnceCall, Once } from './atmostonce.js'
