/** How far the execution of a call that may not be repeated has come. */
export const ClaimPhase = {
  /** One attempt holds the claim and may have executed the call. */
  dispatched: 'dispatched',
  /** Attempts that read only earlier versions of the row are fenced: they may not execute the call. */
  barred: 'barred',
  /** The call was answered, and the answer is stored. */
  answered: 'answered',
  /** The call may have been executed, and its answer is permanently lost. */
  lost: 'lost'
} as const

/** One of the values of {@link ClaimPhase}. */
export type ClaimPhase = typeof ClaimPhase[keyof typeof ClaimPhase]

/** The stored answer of a plain service, which is replayed to callers that send the call again. */
export interface StoredAnswer {
  readonly status: number
  readonly contentType: string
  /** The body in base64; empty if it is in the object store. */
  readonly body: string
  /** Key of the object that holds a body too long for a row; empty if there is none. */
  readonly object: string
}

/** The claim on one call, as the table stores it. */
export interface Claim {
  readonly fingerprint: string
  readonly phase: ClaimPhase
  /** Id of the attempt that last changed the claim. */
  readonly attempt: string
  /** Id of the member that ran this attempt. */
  readonly member: string
  /** When the claim last changed, in milliseconds since the epoch. */
  readonly at: number
  readonly answer: StoredAnswer | undefined
}

/** A claim with the version of its row. Version 0 means that there is no row. */
export interface VersionedClaim {
  readonly version: number
  readonly claim: Claim | undefined
}

/** What an attempt has to do next. */
export type NextAction =
  /** Write the next version of the claim, and execute the call once this has succeeded. */
  | { readonly action: 'claim' }
  /** Read the claim again later, as another attempt is executing the call. */
  | { readonly action: 'wait' }
  /** Return the stored answer. */
  | { readonly action: 'replay', readonly answer: StoredAnswer }
  /** Report that the answer is lost. */
  | { readonly action: 'lost' }
  /** Refuse the call, as its key belongs to another call. */
  | { readonly action: 'mismatch' }

/**
 * Decides what an attempt has to do next.
 *
 * @param current - the claim as read from the table
 * @param fingerprint - hash of the call that the attempt is for
 * @returns the next action
 */
export function nextAction (current: VersionedClaim, fingerprint: string): NextAction {
  const { claim } = current
  if (claim === undefined) return { action: 'claim' }
  if (claim.fingerprint !== fingerprint) return { action: 'mismatch' }
  switch (claim.phase) {
    case ClaimPhase.barred: return { action: 'claim' }
    case ClaimPhase.dispatched: return { action: 'wait' }
    case ClaimPhase.lost: return { action: 'lost' }
    case ClaimPhase.answered:
      return claim.answer === undefined ? { action: 'lost' } : { action: 'replay', answer: claim.answer }
  }
}
