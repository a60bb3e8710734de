import { type Ending, Outcome } from '../owner/index.js'
import { type Problem, Ran } from './problem.js'

/** The status of an answer whose request was given up before dispatch. */
const REFUSED_STATUS = 503
const BAD_REQUEST = 400
const MISMATCH_STATUS = 422
const LOST_STATUS = 502

const TITLES: Readonly<Record<string, string>> = {
  late: 'The request would miss the target of its class',
  full: 'The queue is full',
  poison: 'The request crashed several servers that ran it',
  invalid: 'The engine rejected the request',
  mismatch: 'The idempotency key stands for another request',
  yielded: 'The answer was stopped for work of a higher tier',
  lost: 'The record of the idempotency key is lost'
}

function statusOf (how: Ending): number {
  if (how.reason === 'invalid') return BAD_REQUEST
  if (how.reason === 'mismatch' || how.reason === 'poison') return MISMATCH_STATUS
  if (how.outcome === Outcome.notRun || how.outcome === Outcome.yielded) return REFUSED_STATUS
  return LOST_STATUS
}

/**
 * Says to the caller how a request ended that has no whole answer.
 *
 * @param how - the ending
 * @param requestId - the request
 * @returns the problem
 */
export function toProblem (how: Ending, requestId: string): Problem {
  const outcome = how.outcome === Outcome.notRun ? Ran.notRun : Ran.unknown
  const title = TITLES[how.reason] ?? (outcome === Ran.notRun ? 'The request was not run' : 'The answer is not whole')
  return {
    status: statusOf(how),
    type: how.reason,
    title,
    detail: how.detail ?? title,
    outcome,
    retryAfterMs: how.retryAfterMs,
    requestId
  }
}
