import type { Job } from './job.js'

/** A job that the server runs. */
export interface Run {
  readonly job: Job
  readonly startedAt: number
  /** When the latest token came, in milliseconds since the epoch. */
  tokenAt: number
  tokens: number
}

/**
 * @param a - a running job
 * @param b - another
 * @returns whether the first yields its place before the second: lowest tier first, then the newest
 */
export function yieldsBefore (a: Run, b: Run): boolean {
  if (a.job.tier !== b.job.tier) return a.job.tier > b.job.tier
  if (a.job.yields !== b.job.yields) return a.job.yields > b.job.yields
  return a.startedAt > b.startedAt
}
