/** Why a job gets no place. */
export const Refusal = {
  /** The organisation's allowance is used up. */
  allowance: 'allowance',
  /** No place came free in time. */
  capacity: 'capacity',
  /** The service has no server that may get work. */
  noServer: 'no-server',
  /** The budget of repeats is used up. */
  budget: 'budget',
  /** The request crashed several servers that ran it. */
  crashes: 'crashes'
} as const

/** One of the values of {@link Refusal}. */
export type Refusal = typeof Refusal[keyof typeof Refusal]

/** What the scheduler wants done. */
export type Effect =
  | {
    readonly kind: 'grant'
    readonly job: string
    readonly server: string
    /** What is left of the organisation's allowance, as a part of the whole bucket, if known. */
    readonly level?: number
  }
  | { readonly kind: 'refuse', readonly job: string, readonly reason: Refusal, readonly retryAfterMs: number }
