import type { Job } from './job.js'

/** Part of the latency objective that a job of a lower rank waits for a place. */
const LOWER_RANK_PART = 0.5

/** Part of the caller's time that a job of the highest rank waits: half of it is left for the answer and a return. */
const HIGHEST_RANK_PART = 0.25

/** Part of the caller's remaining time after which it may come back; callers follow up to a third. */
const RETURN_PART = 0.3

/**
 * @param job - waits for a place
 * @returns how long it waits before it is refused, counted from its arrival; in milliseconds
 */
export function patienceMs (job: Job): number {
  if (job.rank === 0) return HIGHEST_RANK_PART * (job.deadlineAt - job.arrivedAt)
  return LOWER_RANK_PART * job.objectiveMs
}

/**
 * @param job - is refused
 * @param now - steady time, in milliseconds
 * @returns when its caller should come back, in milliseconds from now
 */
export function retryAfterMs (job: Job, now: number): number {
  return Math.max(0, RETURN_PART * (job.deadlineAt - now))
}
