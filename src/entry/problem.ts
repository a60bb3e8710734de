import { SECOND_MS } from '../base/index.js'

/** Whether a request without an answer may have been executed. */
export const ExecutionOutcome = {
  /** The request was not executed and, as sent, never will be. */
  notRun: 'not-run',
  /** The request may have been executed. */
  unknown: 'unknown'
} as const

/** One of the values of {@link ExecutionOutcome}. */
export type ExecutionOutcome = typeof ExecutionOutcome[keyof typeof ExecutionOutcome]

/** The problem details of a request without a complete answer, as defined by RFC 9457. */
export interface Problem {
  /** The HTTP status. */
  readonly status: number
  /** The problem type, without its URN prefix. */
  readonly type: string
  readonly title: string
  readonly detail: string
  readonly outcome: ExecutionOutcome
  /** How long to wait before a retry, in milliseconds; 0 if a retry does not help. */
  readonly retryAfterMs: number
  readonly requestId: string
}

const TYPE_BASE = 'urn:marigoldvalve:problem:'

/**
 * @param problem - the problem to report
 * @returns the body of a problem response, as JSON
 */
export function problemBody (problem: Problem): string {
  const { status, type, title, detail, outcome, requestId } = problem
  return JSON.stringify({ type: TYPE_BASE + type, title, status, detail, outcome, request_id: requestId })
}

/**
 * @param problem - the problem to report
 * @returns the HTTP response that reports it
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
 * @param problem - the problem to report
 * @param sequence - the sequence number that follows the last event
 * @returns the error event that ends an event stream
 */
export function problemEvent (problem: Problem, sequence: number): string {
  const { type, detail, outcome, requestId } = problem
  const event = {
    type: 'error', sequence_number: sequence, code: type, message: detail, outcome, request_id: requestId
  }
  return `event: error\ndata: ${JSON.stringify(event)}\n\n`
}
