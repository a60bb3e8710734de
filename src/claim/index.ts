/** Claims in the platform's table: at most one execution of calls that may not be repeated. */
export {
  type Claim, ClaimPhase, type Held, type KeptAnswer, type Move, nextMove
} from './claim.js'
export { ClaimFailure, claimOf, Claims } from './store.js'
