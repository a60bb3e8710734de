import type { Job } from './job.js'

/** Queue timeout of jobs below the highest rank, as a share of the latency objective. */
const LOWER_RANK_OBJECTIVE_SHARE = 0.5

/** Longest queue timeout as a share of the caller's time; the rest is left for the answer or for a new attempt. */
const MAX_QUEUE_SHARE = 0.25

/** Share of the caller's remaining time after which it may retry; callers accept delays of up to a third of it. */
const RETRY_AFTER_SHARE = 0.3

/**
 * @param job - a queued job
 * @returns the time from its arrival after which it is refused, in milliseconds
 */
export function queueTimeoutMs (job: Job): number {
  const maxTimeoutMs = MAX_QUEUE_SHARE * (job.deadlineAt - job.arrivedAt)
  return job.rank === 0 ? maxTimeoutMs : Math.min(maxTimeoutMs, LOWER_RANK_OBJECTIVE_SHARE * job.objectiveMs)
}

/**
 * @param job - a job that is refused
 * @param now - monotonic time, in milliseconds
 * @returns the delay after which its caller should retry, in milliseconds
 */
export function retryAfterMs (job: Job, now: number): number {
  return Math.max(0, RETRY_AFTER_SHARE * (job.deadlineAt - now))
}
