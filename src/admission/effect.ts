import type { Job, RefusalReason } from './job.js'

/** An action that the owner of the server is to carry out. */
export type Effect =
  | { readonly effect: 'dispatch', readonly job: Job }
  /** End the job without dispatching it; its caller may retry after `retryAfterMs`. */
  | { readonly effect: 'refuse', readonly job: Job, readonly reason: RefusalReason, readonly retryAfterMs: number }
  /** Preempt the running job: cancel it to free its slot for a higher tier. */
  | { readonly effect: 'yield', readonly job: Job }

/** What a server's queue would do with a job that arrived now. */
export interface Forecast {
  /** Whether the job would be queued or dispatched rather than refused. */
  readonly accepts: boolean
  /** Estimated time until dispatch, in milliseconds. */
  readonly waitMs: number
  /** Whether a job of a lower tier is running that could be preempted. */
  readonly yields: boolean
}
