/** A request as represented in admission control: priority, latency objectives and expected cost. */
export interface Job {
  readonly id: string
  /** Priority; 1 is served first. */
  readonly tier: number
  /** Preemption order within a tier: running jobs with a higher number are preempted first. */
  readonly preemptionOrder: number
  readonly organisation: string
  /** Name of the request's class. */
  readonly className: string
  /** When the request arrived, in milliseconds since the epoch. */
  readonly arrivedAt: number
  /** Deadline of the first token, in milliseconds since the epoch. */
  readonly startBy: number
  /** Deadline of the last token, in milliseconds since the epoch. */
  readonly finishBy: number
  /** Prompt tokens that are probably not in the server's prefix cache. */
  readonly promptTokens: number
  /** Expected number of output tokens. */
  readonly outputTokens: number
}

/** Why a job was not dispatched. */
export const RefusalReason = {
  /** The job would miss its deadline for the first or the last token. */
  late: 'late',
  /** The queue has reached its maximum length. */
  full: 'full',
  /** The server is draining and accepts no new work. */
  draining: 'draining',
  /** The server was ejected after consecutive failures. */
  unhealthy: 'unhealthy'
} as const

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]
