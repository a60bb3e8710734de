/** Why a job is refused. */
export const Refusal = {
  /** The organisation's quota is used up. */
  quota: 'allowance',
  /** No slot became free before the queue timeout. */
  capacity: 'capacity',
  /** The service has no server that accepts requests. */
  noServer: 'no-server',
  /** The service has servers in evacuated data centres only. */
  evacuated: 'evacuated',
  /** All servers of the service asked the host for a pause. */
  paused: 'paused',
  /** The retry budget is used up. */
  retryBudget: 'budget',
  /** The request crashed several servers that ran it. */
  crashes: 'crashes'
} as const

/** One of the values of {@link Refusal}. */
export type Refusal = typeof Refusal[keyof typeof Refusal]

/** A decision of the scheduler that is to be sent to the job's host. */
export type Effect =
  | {
    readonly kind: 'grant'
    readonly job: string
    readonly server: string
    /** Quota balance of the organisation as a share of the whole bucket, if known. */
    readonly level?: number
  }
  | { readonly kind: 'refuse', readonly job: string, readonly reason: Refusal, readonly retryAfterMs: number }
