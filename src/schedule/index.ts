/** Decides which server each request gets, and when. */
export type { Job } from './job.js'
export { Outcome } from './outcome.js'
export { type Effect, Refusal } from './effect.js'
export type { ScheduleBounds } from './bounds.js'
export { Scheduler } from './scheduler.js'
export type { Moves } from './moves.js'
export type { AllowanceLevel } from './allowances.js'
export type { PaceSummary } from './pace.js'
