import { SECOND_MS } from '../base/index.js'

/** What a problem says of the request. */
export const Ran = {
  /** It was not run and, as sent, never will be. */
  notRun: 'not-run',
  /** It may have been run. */
  unknown: 'unknown'
} as const

/** One of the values of {@link Ran}. */
export type Ran = typeof Ran[keyof typeof Ran]

/** Why a request has no answer, after RFC 9457. */
export interface Problem {
  readonly status: number
  /** A short word for the kind of problem. */
  readonly type: string
  readonly title: string
  readonly detail: string
  readonly outcome: Ran
  /** After how long to come back, in milliseconds; 0 if that does not help. */
  readonly retryAfterMs: number
  readonly requestId: string
}

const TYPE_BASE = 'urn:marigoldvalve:problem:'

/**
 * @param problem - the problem
 * @returns its JSON text
 */
export function problemBody (problem: Problem): string {
  const { status, type, title, detail, outcome, requestId } = problem
  return JSON.stringify({ type: TYPE_BASE + type, title, status, detail, outcome, request_id: requestId })
}

/**
 * @param problem - the problem
 * @returns the HTTP answer that tells it
 */
export function problemResponse (problem: Problem): Response {
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'x-request-id': problem.requestId
  }
  if (problem.retryAfterMs > 0) headers['retry-after'] = String(Math.ceil(problem.retryAfterMs / SECOND_MS))
  return new Response(problemBody(problem), { status: problem.status, headers })
}

/**
 * @param problem - the problem
 * @param sequence - the sequence number after the last event
 * @returns the event that tells it in the midst of a stream
 */
export function problemEvent (problem: Problem, sequence: number): string {
  const { type, detail, outcome, requestId } = problem
  const event = {
    type: 'error', sequence_number: sequence, code: type, message: detail, outcome, request_id: requestId
  }
  return `event: error\ndata: ${JSON.stringify(event)}\n\n`
}
