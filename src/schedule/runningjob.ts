import type { Job } from './job.js'

/** A job that was granted a slot of a server. */
export interface RunningJob {
  readonly job: Job
  readonly grantedAt: number
  /** Prompt tokens that the server had to process before this job's first event, its own included. */
  readonly tokensBefore: number
  /** When the first event arrived. */
  firstEventAt: number | undefined
  /** Whether the server was reported as silent for this job. */
  isSilent: boolean
  /** Whether the response states a limit of requests, or may do so without this being reported. */
  statesLimit: boolean
  /** Whether the response says that the server is brittle, or may do so without this being reported. */
  statesBrittleness: boolean
}
