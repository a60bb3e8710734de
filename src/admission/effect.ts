import type { Job, Reason } from './job.js'

/** What is to be done next. */
export type Effect =
  | { readonly effect: 'dispatch', readonly job: Job }
  /** Give the job its final answer: it was not dispatched. */
  | { readonly effect: 'refuse', readonly job: Job, readonly reason: Reason, readonly retryAfterMs: number }
  /** Cancel the running job, to make room for a higher tier. */
  | { readonly effect: 'yield', readonly job: Job }

/** How a server would take a job. */
export interface Forecast {
  readonly accepts: boolean
  /** Time until the job would be dispatched, in milliseconds. */
  readonly waitMs: number
  /** Whether work of a lower tier runs, which would yield. */
  readonly yields: boolean
}
