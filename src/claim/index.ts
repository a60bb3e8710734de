/** Claims in the platform's table, by which a call that may not be repeated is executed at most once. */
export { type Claim, ClaimPhase, type StoredAnswer, type NextAction, nextAction, type VersionedClaim } from './claim.js'
export { ClaimFailure, ClaimStore, createClaim } from './store.js'
