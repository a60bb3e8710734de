import type { Job } from './job.js'

/** A job that was dispatched to the server and has not ended. */
export interface RunningJob {
  readonly job: Job
  /** Time of dispatch, in milliseconds since the epoch. */
  readonly startedAt: number
  /** When the latest token arrived, or the time of dispatch before the first one, in milliseconds since the epoch. */
  lastTokenAt: number
  /** Output tokens received so far. */
  tokens: number
}

/**
 * Order of preemption: the lowest tier first, then the higher {@link Job.preemptionOrder},
 * then the job that was dispatched last.
 *
 * @param a - a running job
 * @param b - another running job
 * @returns whether `a` is preempted before `b`
 */
export function isPreemptedBefore (a: RunningJob, b: RunningJob): boolean {
  if (a.job.tier !== b.job.tier) return a.job.tier > b.job.tier
  if (a.job.preemptionOrder !== b.job.preemptionOrder) return a.job.preemptionOrder > b.job.preemptionOrder
  return a.startedAt > b.startedAt
}
