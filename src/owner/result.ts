import type { Place } from '../record/index.js'

/** What became of a submitted request. */
export const Outcome = {
  /** The whole answer was delivered. */
  answered: 'answered',
  /** This owner did not dispatch it and never will. */
  notRun: 'not-run',
  /** It was or may have been dispatched; the answer is not whole. */
  unknown: 'unknown',
  /** It was dispatched, then cancelled for work of a higher tier. */
  yielded: 'yielded',
  /** Another attempt for the same key was dispatched. */
  elsewhere: 'elsewhere'
} as const

/** One of the values of {@link Outcome}. */
export type Outcome = typeof Outcome[keyof typeof Outcome]

/** How an answer ends. */
export interface Ending {
  readonly outcome: Outcome
  /** A short word for why, for logs and for the caller. */
  readonly reason: string
  /** When coming back helps, after how long, in milliseconds; else 0. */
  readonly retryAfterMs: number
  /** Where the other attempt was dispatched, for `elsewhere`. */
  readonly place?: Place
  /** What the engine said, for a request it rejected. */
  readonly detail?: string
}

/**
 * @param outcome - what became of the request
 * @param reason - a short word for why
 * @param retryAfterMs - after how long to come back, in milliseconds; 0 if that does not help
 * @returns the ending
 */
export function ending (outcome: Outcome, reason: string, retryAfterMs: number = 0): Ending {
  return { outcome, reason, retryAfterMs }
}
