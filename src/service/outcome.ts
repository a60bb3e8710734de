import type { ServiceAnswer } from './client.js'

/** What the caller of a plain service is told. */
export type CallOutcome =
  | { readonly outcome: 'answered', readonly answer: ServiceAnswer }
  /** The call was not executed and, as far as this attempt goes, never will be. */
  | { readonly outcome: 'not-run', readonly reason: string, readonly retryAfterMs: number }
  /** The call may have been executed. */
  | { readonly outcome: 'unknown', readonly reason: string, readonly retryAfterMs: number }
  /** The key stands for another call. */
  | { readonly outcome: 'mismatch' }
