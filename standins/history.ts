import { generateText } from './sequence.js'
import {
  callService, type GenerationRequest, type GenerationResult, sendRequest, type ServiceCallResult
} from './caller.js'

/** One attempt of a request, as observed by its caller. Times are in Unix milliseconds. */
export interface Attempt {
  readonly sentAt: number
  readonly endedAt: number
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken'
  readonly reason: string
  /** Whether the response is complete and belongs to this request. */
  readonly isCorrect: boolean
}

/** History of one request: all its attempts, in order. */
export interface RequestHistory {
  readonly nonce: string
  readonly kind: 'draft' | 'call' | 'read'
  readonly attempts: readonly Attempt[]
}

/** Retry policy of a caller. */
export interface RetryPolicy {
  /** Maximum number of attempts, the first included. */
  readonly maxAttempts: number
  /** Pause after an attempt without an answer, in milliseconds. */
  readonly retryDelayMs: number
}

/** Selects the port of the host that an attempt, counted from 0, is sent to. */
export type PortSelector = (attempt: number) => number

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

async function sendUntilAnswered (
  retryPolicy: RetryPolicy, sendAttempt: (attempt: number) => Promise<Omit<Attempt, 'sentAt' | 'endedAt'>>
): Promise<Attempt[]> {
  const attempts: Attempt[] = []
  for (let attempt = 0; attempt < retryPolicy.maxAttempts; attempt++) {
    const sentAt = Date.now()
    const result = await sendAttempt(attempt)
    attempts.push({ sentAt, endedAt: Date.now(), ...result })
    if (result.outcome === 'answered') break
    await pause(retryPolicy.retryDelayMs)
  }
  return attempts
}

function assessDraft (request: GenerationRequest, result: GenerationResult): Omit<Attempt, 'sentAt' | 'endedAt'> {
  const isCorrect = result.outcome === 'answered' && result.text === generateText(result.responseId, request.tokens)
  return { outcome: result.outcome, reason: result.reason, isCorrect }
}

function assessCall (nonce: string, result: ServiceCallResult): Omit<Attempt, 'sentAt' | 'endedAt'> {
  const isCorrect = result.outcome === 'answered' && result.status === 200 &&
    (JSON.parse(result.body) as { nonce: string }).nonce === nonce
  return { outcome: result.outcome, reason: result.outcome === 'answered' ? '' : result.body, isCorrect }
}

/**
 * Sends a request to an engine, with retries under the same idempotency key.
 *
 * @param request - the request with its idempotency key
 * @param selectPort - selects a host for each attempt
 * @param retryPolicy - number of attempts and pause between them
 * @returns the history of the request
 */
export async function sendDraftWithRetries (
  request: GenerationRequest, selectPort: PortSelector, retryPolicy: RetryPolicy
): Promise<RequestHistory> {
  const attempts = await sendUntilAnswered(retryPolicy, async attempt =>
    assessDraft(request, await sendRequest(selectPort(attempt), request)))
  return { nonce: request.nonce, kind: 'draft', attempts }
}

/**
 * Calls the service with a method that is not repeatable, with retries under the same idempotency key.
 *
 * @param organisation - the caller's organisation
 * @param nonce - identifies the call in the workers' execution counts
 * @param selectPort - selects a host for each attempt
 * @param retryPolicy - number of attempts and pause between them
 * @returns the history of the request
 */
export async function sendCallWithRetries (
  organisation: string, nonce: string, selectPort: PortSelector, retryPolicy: RetryPolicy
): Promise<RequestHistory> {
  const attempts = await sendUntilAnswered(retryPolicy, async attempt =>
    assessCall(nonce, await callService(selectPort(attempt), organisation, 'POST', '/lodgements', nonce, `key-${nonce}`)))
  return { nonce, kind: 'call', attempts }
}

/**
 * Calls the service with a repeatable method, with retries and without an idempotency key.
 *
 * @param organisation - the caller's organisation
 * @param nonce - identifies the call in the workers' execution counts
 * @param selectPort - selects a host for each attempt
 * @param retryPolicy - number of attempts and pause between them
 * @returns the history of the request
 */
export async function sendReadWithRetries (
  organisation: string, nonce: string, selectPort: PortSelector, retryPolicy: RetryPolicy
): Promise<RequestHistory> {
  const attempts = await sendUntilAnswered(retryPolicy, async attempt =>
    assessCall(nonce, await callService(selectPort(attempt), organisation, 'GET', `/status/${nonce}`, nonce)))
  return { nonce, kind: 'read', attempts }
}
