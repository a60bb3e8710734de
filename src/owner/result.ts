import type { DispatchLocation } from '../record/index.js'

/** Outcome of a submitted request. */
export const Outcome = {
  /** The complete response was delivered. */
  answered: 'answered',
  /** This owner did not dispatch the request and never will. */
  notRun: 'not-run',
  /** The request was or may have been dispatched; the response is incomplete. */
  unknown: 'unknown',
  /** The request was dispatched, then preempted by work of a higher tier. */
  preempted: 'yielded',
  /** Another attempt for the same key was dispatched. */
  elsewhere: 'elsewhere'
} as const

/** One of the values of {@link Outcome}. */
export type Outcome = typeof Outcome[keyof typeof Outcome]

/** The result of a submitted request. */
export interface RequestResult {
  readonly outcome: Outcome
  /** Code of the reason, for logs and the caller. */
  readonly reason: string
  /** Delay after which a retry may succeed, in milliseconds; 0 if a retry does not help. */
  readonly retryAfterMs: number
  /** Where the other attempt was dispatched, for `elsewhere`. */
  readonly place?: DispatchLocation
  /** The engine's error message, for a request that it rejected as invalid. */
  readonly detail?: string
}

/**
 * @param outcome - the outcome of the request
 * @param reason - reason code
 * @param retryAfterMs - delay after which a retry may succeed, in milliseconds; 0 if a retry does not help
 * @returns the result
 */
export function requestResult (outcome: Outcome, reason: string, retryAfterMs: number = 0): RequestResult {
  return { outcome, reason, retryAfterMs }
}
