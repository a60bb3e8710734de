import { request } from 'undici'
import { apiKeyOf } from './documents.js'

/** Result of a request to an engine. */
export interface GenerationResult {
  readonly status: number
  /** `answered`, the outcome that the problem response or error event reports, or `broken` if the connection failed. */
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken'
  readonly text: string
  readonly responseId: string
  /** Problem type, error code or connection error; empty if answered. */
  readonly reason: string
  /** The retry-after header; empty without one. */
  readonly retryAfter: string
  /** Time to the first token, in milliseconds; -1 without one. */
  readonly timeToFirstTokenMs: number
  /** Total duration, in milliseconds. */
  readonly durationMs: number
  /** Number of events received. */
  readonly eventCount: number
}

/** Request to an engine, from a caller's point of view. */
export interface GenerationRequest {
  readonly organisation: string
  readonly className: string
  readonly input: string
  readonly instructions?: string
  /** Sent as max_output_tokens. */
  readonly tokens: number
  /** Identifies the request in the engines' execution counts. */
  readonly nonce: string
  /** Idempotency key. */
  readonly key?: string
  readonly signal?: AbortSignal
}

interface StreamEvent {
  type: string
  delta?: string
  code?: string
  outcome?: 'unknown' | 'not-run'
  response?: { id: string }
}

const TIMEOUT_MS = 120_000

function buildBody (generationRequest: GenerationRequest): string {
  return JSON.stringify({
    input: generationRequest.input,
    instructions: generationRequest.instructions,
    stream: true,
    max_output_tokens: generationRequest.tokens,
    metadata: { class: generationRequest.className, nonce: generationRequest.nonce }
  })
}

/**
 * Sends a request to an engine through a host and reads the streamed response to its end.
 *
 * @param port - the caller-facing port of a host
 * @param generationRequest - the request
 * @returns the result; connection errors are reported in it, not thrown
 */
export async function sendRequest (port: number, generationRequest: GenerationRequest): Promise<GenerationResult> {
  const startedAt = performance.now()
  const progress = { status: 0, text: '', responseId: '', timeToFirstTokenMs: -1, eventCount: 0 }
  const buildResult = (outcome: GenerationResult['outcome'], reason: string, retryAfter = ''): GenerationResult =>
    ({ ...progress, outcome, reason, retryAfter, durationMs: performance.now() - startedAt })
  try {
    const headers: Record<string, string> = {
      authorization: `Bearer ${apiKeyOf(generationRequest.organisation)}`, 'content-type': 'application/json'
    }
    if (generationRequest.key !== undefined) headers['idempotency-key'] = generationRequest.key
    const signal = generationRequest.signal ?? AbortSignal.timeout(TIMEOUT_MS)
    const response = await request(`http://127.0.0.1:${port}/v1/responses`, {
      method: 'POST',
      headers,
      body: buildBody(generationRequest),
      signal,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS
    })
    progress.status = response.statusCode
    if (response.statusCode !== 200) {
      const problem = await response.body.json() as { outcome: 'not-run' | 'unknown', type: string }
      return buildResult(problem.outcome, problem.type, String(response.headers['retry-after'] ?? ''))
    }
    for await (const event of readEvents(response.body)) {
      progress.eventCount++
      if (event.response !== undefined) progress.responseId = event.response.id
      if (event.delta !== undefined) {
        if (progress.timeToFirstTokenMs < 0) progress.timeToFirstTokenMs = performance.now() - startedAt
        progress.text += event.delta
      }
      if (event.type === 'response.completed') return buildResult('answered', '')
      if (event.type === 'error') return buildResult(event.outcome ?? 'unknown', event.code ?? '')
    }
    return buildResult('broken', 'the stream ended without a final event')
  } catch (thrown) {
    return buildResult('broken', (thrown as Error).message)
  }
}

/** Parses a server-sent event stream. */
async function * readEvents (body: AsyncIterable<Buffer>): AsyncGenerator<StreamEvent> {
  let incomplete = ''
  const decoder = new TextDecoder()
  for await (const chunk of body) {
    const parts = (incomplete + decoder.decode(chunk, { stream: true })).split('\n\n')
    incomplete = parts.pop() ?? ''
    for (const part of parts) {
      const dataIndex = part.indexOf('data: ')
      if (dataIndex >= 0) yield JSON.parse(part.slice(dataIndex + 6)) as StreamEvent
    }
  }
}

/** Result of a call to a plain service. */
export interface ServiceCallResult {
  readonly status: number
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken'
  /** Response body, or the connection error if the outcome is `broken`. */
  readonly body: string
}

/**
 * Calls the plain service "registry" through a host.
 *
 * @param port - the caller-facing port of a host
 * @param organisation - the caller's organisation
 * @param method - the HTTP method
 * @param path - the path within the service
 * @param nonce - identifies the call in the workers' execution counts
 * @param key - the idempotency key, if one is sent
 * @returns the result; connection errors are reported in it, not thrown
 */
export async function callService (
  port: number, organisation: string, method: 'GET' | 'POST', path: string, nonce: string, key?: string
): Promise<ServiceCallResult> {
  try {
    const headers: Record<string, string> = {
      authorization: `Bearer ${apiKeyOf(organisation)}`, 'content-type': 'application/json'
    }
    if (key !== undefined) headers['idempotency-key'] = key
    const url = `http://127.0.0.1:${port}/services/registry${path}${method === 'GET' ? `?nonce=${nonce}` : ''}`
    const body = method === 'GET' ? null : JSON.stringify({ nonce })
    const response = await request(url, { method, headers, body, signal: AbortSignal.timeout(TIMEOUT_MS) })
    const text = await response.body.text()
    if (!String(response.headers['content-type']).includes('problem')) {
      return { status: response.statusCode, outcome: 'answered', body: text }
    }
    const problem = JSON.parse(text) as { outcome: 'not-run' | 'unknown' }
    return { status: response.statusCode, outcome: problem.outcome, body: text }
  } catch (thrown) {
    return { status: 0, outcome: 'broken', body: (thrown as Error).message }
  }
}
