import { hash } from '../base/index.js'
import type { Job } from './job.js'

/** Retry delay for a request that crashes servers, in milliseconds. */
export const CRASH_RETRY_AFTER_MS = 120_000

/** Queue timeout of jobs below the highest rank, as a share of the latency objective. */
const LOWER_RANK_OBJECTIVE_SHARE = 0.5

/**
 * Longest queue timeout as a share of the time from arrival to the caller's deadline. The rest is left for the
 * response or for a new attempt.
 */
const MAX_QUEUE_SHARE = 0.25

/**
 * Share of the time until its deadline after which a caller may retry. Callers accept delays of up to a third of that
 * time.
 */
const RETRY_AFTER_SHARE = 0.3

/** Share of a retry delay by which those of jobs that are refused together differ, so that they return one by one. */
const RETRY_SPREAD = 0.3

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
  const spread = 1 - RETRY_SPREAD * (hash(job.id) % 1_000) / 1_000
  return Math.max(0, RETRY_AFTER_SHARE * (job.deadlineAt - now)) * spread
}
