import type { Job, Outcome, Refusal } from '../schedule/index.js'

/** What came of asking for a place. */
export type Placement =
  | { readonly kind: 'granted', readonly server: string }
  | { readonly kind: 'refused', readonly reason: Refusal, readonly retryAfterMs: number }

/** A job of this host, from asking for a place to its end. */
export interface Ticket {
  /** Tells that the first event came. */
  started (): void

  /**
   * Tells that the job is off its server.
   *
   * @param outcome - what became of it
   * @param stepMs - mean pause between its events or length of the call, if known; in milliseconds
   */
  ended (outcome: Outcome, stepMs?: number): void

  /** Takes the ask back; no placement comes any more. */
  withdraw (): void
}

/** What a host keeps of a ticket. */
export interface TicketState {
  readonly number: number
  readonly job: Job
  readonly take: (placement: Placement) => void
  /** When it was asked for last, steady milliseconds. */
  askedAt: number
  /** Whether the scheduler said anything about it since. */
  isHeard: boolean
  /** The server that was granted. */
  server: string | undefined
  hasStarted: boolean
}
