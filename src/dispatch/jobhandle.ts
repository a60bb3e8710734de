import type { BackendServer } from '../fleet/index.js'
import type { Job, Outcome, Refusal } from '../schedule/index.js'

/** The scheduler's decision on a request for a slot. */
export type Placement =
  | { readonly kind: 'granted', readonly server: string }
  | { readonly kind: 'refused', readonly reason: Refusal, readonly retryAfterMs: number }

/** Reports the progress of a job of this host to the scheduler, from the request for a slot to the job's end. */
export interface JobHandle {
  /** Reports that the first event of the response arrived. */
  reportStarted (): void

  /** Reports that the server sends nothing, though the job still holds its slot. Only the first report counts. */
  reportSilent (): void

  /**
   * Reports what the server's response states of its limit of requests.
   *
   * @param server - the server
   * @param requestsPerS - requests per second from all hosts together; undefined if the response states no limit
   */
  reportRequestLimit (server: BackendServer, requestsPerS: number | undefined): void

  /**
   * Reports whether the server's response says that it is brittle.
   *
   * @param server - the server
   * @param rejectionsPerS - rejections for want of room that it endures; undefined if it is not brittle
   */
  reportBrittleness (server: BackendServer, rejectionsPerS: number | undefined): void

  /**
   * Reports that the server says that it leaves.
   *
   * @param server - the server
   */
  reportLeaving (server: BackendServer): void

  /**
   * Reports that the job no longer occupies its slot.
   *
   * @param outcome - the result of the job at its server
   * @param stepMs - mean time between two events, or duration of the call, in milliseconds; undefined if not known
   */
  reportEnded (outcome: Outcome, stepMs?: number): void

  /** Withdraws the request for a slot, after which its result is not reported. No effect once the slot is granted. */
  withdraw (): void
}

/** State of a job that is queued or holds a slot. */
export interface JobState {
  /** Unique among the jobs of this host. */
  readonly number: number
  readonly job: Job
  readonly onPlacement: (placement: Placement) => void
  /** When the slot was last requested, in milliseconds of monotonic time. */
  requestedAt: number
  /** Whether the scheduler has replied to the last request. */
  isAcknowledged: boolean
  /** The id of the granted server; undefined while the job is queued. */
  server: string | undefined
  hasStarted: boolean
  isSilenceReported: boolean
}
