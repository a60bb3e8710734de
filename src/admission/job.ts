/** A request as its order is decided: what it may cost and when it must be served. */
export interface Job {
  readonly id: string
  /** 1 is served first. */
  readonly tier: number
  /** Among jobs of one tier, those with a higher number yield first. */
  readonly yields: number
  readonly organisation: string
  readonly className: string
  /** When the request arrived, in milliseconds since the epoch. */
  readonly arrived: number
  /** When the first token must be out, in milliseconds since the epoch. */
  readonly startBy: number
  /** When the last token must be out, in milliseconds since the epoch. */
  readonly finishBy: number
  /** Prompt tokens that are likely not cached on the server. */
  readonly promptTokens: number
  /** Output tokens expected. */
  readonly outputTokens: number
}

/** Why a job was not dispatched. */
export const Reason = {
  /** It would have missed its target. */
  late: 'late',
  /** The queue is at its bound. */
  full: 'full',
  /** The server gets no new work. */
  draining: 'draining',
  /** The server is failing. */
  unhealthy: 'unhealthy'
} as const

/** One of the values of {@link Reason}. */
export type Reason = typeof Reason[keyof typeof Reason]
