/** How far a call that may not be repeated has come. */
export const ClaimPhase = {
  /** One attempt holds the claim and may have executed the call. */
  dispatched: 'dispatched',
  /** No attempt that knew only earlier versions of the row may execute it. */
  barred: 'barred',
  /** The call was answered; the answer is kept. */
  answered: 'answered',
  /** The call may have been executed; its answer is lost for good. */
  lost: 'lost'
} as const

/** One of the values of {@link ClaimPhase}. */
export type ClaimPhase = typeof ClaimPhase[keyof typeof ClaimPhase]

/** The answer of a plain service, as it is kept for callers that send again. */
export interface KeptAnswer {
  readonly status: number
  readonly contentType: string
  /** The body in base64, or empty if it is kept as an object. */
  readonly body: string
  /** The object that holds a body too long for a row; empty if there is none. */
  readonly object: string
}

/** What the table holds for one key. */
export interface Claim {
  readonly fingerprint: string
  readonly phase: ClaimPhase
  /** The attempt that last changed the claim. */
  readonly attempt: string
  /** The member that the attempt ran on. */
  readonly member: string
  /** When it last changed, in milliseconds since the epoch. */
  readonly at: number
  readonly answer: KeptAnswer | undefined
}

/** A claim with the version of its row; version 0 stands for no row. */
export interface Held {
  readonly version: number
  readonly claim: Claim | undefined
}

/** What an attempt is to do, given what the table holds. */
export type Move =
  /** Claim the call by writing the next version; execute it once that stands. */
  | { readonly move: 'claim' }
  /** Another attempt executes it: look again later. */
  | { readonly move: 'wait' }
  | { readonly move: 'replay', readonly answer: KeptAnswer }
  | { readonly move: 'lost' }
  | { readonly move: 'mismatch' }

/**
 * Decides the next move of an attempt.
 *
 * @param held - what the table holds
 * @param fingerprint - hash of the call
 * @returns the move
 */
export function nextMove (held: Held, fingerprint: string): Move {
  const { claim } = held
  if (claim === undefined) return { move: 'claim' }
  if (claim.fingerprint !== fingerprint) return { move: 'mismatch' }
  switch (claim.phase) {
    case ClaimPhase.barred: return { move: 'claim' }
    case ClaimPhase.dispatched: return { move: 'wait' }
    case ClaimPhase.lost: return { move: 'lost' }
    case ClaimPhase.answered: return claim.answer === undefined ? { move: 'lost' } : { move: 'replay', answer: claim.answer }
  }
}
