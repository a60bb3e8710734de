import type { Job } from './job.js'

/** Part of the latency objective that a job of a lower rank waits for a place. */
const LOWER_RANK_PART = 0.5

/** Part of the caller's time that a job waits at most: most of it is left for the answer or a return. */
const GREATEST_PART = 0.25

/** Part of the caller's remaining time after which it may come back; callers follow up to a third. */
const RETURN_PART = 0.3

/**
 * @param job - waits for a place
 * @returns how long it waits before it is refused, counted from its arrival; in milliseconds
 */
export function patienceMs (job: Job): number {
  const greatestMs = GREATEST_PART * (job.deadlineAt - job.arrivedAt)
  return job.rank === 0 ? greatestMs : Math.min(greatestMs, LOWER_RANK_PART * job.objectiveMs)
}

/**
 * @param job - is refused
 * @param now - steady time, in milliseconds
 * @returns when its caller should come back, in milliseconds from now
 */
export function retryAfterMs (job: Job, now: number): number {
  return Math.max(0, RETURN_PART * (job.deadlineAt - now))
}
