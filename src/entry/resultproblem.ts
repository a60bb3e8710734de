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

function statusFor (result: RequestResult): number {
  if (result.reason === 'invalid') return BAD_REQUEST
  if (result.reason === 'mismatch' || result.reason === 'poison') return UNPROCESSABLE
  if (result.outcome === Outcome.notRun || result.outcome === Outcome.preempted) return UNAVAILABLE
  return BAD_GATEWAY
}

/**
 * Describes to the caller why a request has no complete answer.
 *
 * @param result - the result of the request
 * @param requestId - the request id
 * @returns the problem details to report
 */
export function toProblem (result: RequestResult, requestId: string): Problem {
  const outcome = result.outcome === Outcome.notRun ? ExecutionOutcome.notRun : ExecutionOutcome.unknown
  const title = TITLES[result.reason] ??
    (outcome === ExecutionOutcome.notRun ? 'The request was not executed' : 'The answer is incomplete')
  return {
    status: statusFor(result),
    type: result.reason,
    title,
    detail: result.detail ?? title,
    outcome,
    retryAfterMs: result.retryAfterMs,
    requestId
  }
}
