import type { ServiceAnswer } from './client.js'

/** The outcome of a call of a plain service, as it is reported to the caller. */
export type CallOutcome =
  | { readonly outcome: 'answered', readonly answer: ServiceAnswer }
  /** The call was not executed, and no attempt made so far will execute it. */
  | { readonly outcome: 'not-run', readonly reason: string, readonly retryAfterMs: number }
  /** The call may have been executed. */
  | { readonly outcome: 'unknown', readonly reason: string, readonly retryAfterMs: number }
  /** The idempotency key belongs to another call. */
  | { readonly outcome: 'mismatch' }
