import { Outcome, type RequestResult } from '../owner/index.js'
import { ExecutionOutcome, type Problem } from './problem.js'

const UNAVAILABLE = 503
const BAD_REQUEST = 400
const UNPROCESSABLE = 422
const BAD_GATEWAY = 502

const TITLES: Readonly<Record<string, string>> = {
  late: 'The request would miss the latency objective of its class',
  full: 'The queue is full',
  poison: 'The request crashed several servers',
  invalid: 'The engine rejected the request',
  mismatch: 'The idempotency key was already used for a different request',
  yielded: 'The answer was preempted by work of a higher tier',
  lost: 'The record of the idempotency key is lost'
}

function statusFor (ending: RequestResult): number {
  if (ending.reason === 'invalid') return BAD_REQUEST
  if (ending.reason === 'mismatch' || ending.reason === 'poison') return UNPROCESSABLE
  if (ending.outcome === Outcome.notRun || ending.outcome === Outcome.preempted) return UNAVAILABLE
  return BAD_GATEWAY
}

/**
 * Describes to the caller why a request has no complete answer.
 *
 * @param ending - how the answer ended
 * @param requestId - the request id
 * @returns the problem to report
 */
export function toProblem (ending: RequestResult, requestId: string): Problem {
  const outcome = ending.outcome === Outcome.notRun ? ExecutionOutcome.notRun : ExecutionOutcome.unknown
  const title = TITLES[ending.reason] ??
    (outcome === ExecutionOutcome.notRun ? 'The request was not executed' : 'The answer is incomplete')
  return {
    status: statusFor(ending),
    type: ending.reason,
    title,
    detail: ending.detail ?? title,
    outcome,
    retryAfterMs: ending.retryAfterMs,
    requestId
  }
}
