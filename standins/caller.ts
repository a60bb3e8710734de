import { request } from 'undici'
import { callerKeyOf } from './documents.js'

/** What a caller got. */
export interface Got {
  readonly status: number
  /** `answered`, or the outcome that the problem tells, or `broken` for a connection that ended. */
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken'
  readonly text: string
  readonly responseId: string
  /** Why there is no answer. */
  readonly reason: string
  readonly retryAfter: string
  /** Time to the first token, in milliseconds. */
  readonly firstMs: number
  /** Time to the end, in milliseconds. */
  readonly endMs: number
  /** Events received. */
  readonly events: number
}

/** A request to an engine, as a caller sends it. */
export interface Ask {
  readonly organisation: string
  readonly className: string
  readonly input: string
  readonly instructions?: string
  readonly tokens: number
  /** Names the request, so that the engines can be asked how often it ran. */
  readonly nonce: string
  readonly key?: string
  readonly signal?: AbortSignal
}

interface Event {
  type: string
  delta?: string
  code?: string
  outcome?: 'unknown' | 'not-run'
  response?: { id: string }
}

const TIMEOUT_MS = 120_000

function bodyOf (ask: Ask): string {
  return JSON.stringify({
    input: ask.input,
    instructions: ask.instructions,
    stream: true,
    max_output_tokens: ask.tokens,
    metadata: { class: ask.className, nonce: ask.nonce }
  })
}

/**
 * Sends a request and reads its answer to the end.
 *
 * @param port - a host's port for callers
 * @param ask - the request
 * @returns what came of it
 */
export async function send (port: number, ask: Ask): Promise<Got> {
  const startedAt = performance.now()
  const sofar = { status: 0, text: '', responseId: '', firstMs: -1, events: 0 }
  const end = (outcome: Got['outcome'], reason: string, retryAfter = ''): Got =>
    ({ ...sofar, outcome, reason, retryAfter, endMs: performance.now() - startedAt })
  try {
    const headers: Record<string, string> = {
      authorization: `Bearer ${callerKeyOf(ask.organisation)}`, 'content-type': 'application/json'
    }
    if (ask.key !== undefined) headers['idempotency-key'] = ask.key
    const signal = ask.signal ?? AbortSignal.timeout(TIMEOUT_MS)
    const response = await request(`http://127.0.0.1:${port}/v1/responses`, {
      method: 'POST', headers, body: bodyOf(ask), signal, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS
    })
    sofar.status = response.statusCode
    if (response.statusCode !== 200) {
      const problem = await response.body.json() as { outcome: 'not-run' | 'unknown', type: string }
      return end(problem.outcome, problem.type, String(response.headers['retry-after'] ?? ''))
    }
    for await (const event of events(response.body)) {
      sofar.events++
      if (event.response !== undefined) sofar.responseId = event.response.id
      if (event.delta !== undefined) {
        if (sofar.firstMs < 0) sofar.firstMs = performance.now() - startedAt
        sofar.text += event.delta
      }
      if (event.type === 'response.completed') return end('answered', '')
      if (event.type === 'error') return end(event.outcome ?? 'unknown', event.code ?? '')
    }
    return end('broken', 'the stream ended without its last event')
  } catch (thrown) {
    return end('broken', (thrown as Error).message)
  }
}

async function * events (body: AsyncIterable<Buffer>): AsyncGenerator<Event> {
  let rest = ''
  const decoder = new TextDecoder()
  for await (const bytes of body) {
    const parts = (rest + decoder.decode(bytes, { stream: true })).split('\n\n')
    rest = parts.pop() ?? ''
    for (const part of parts) {
      const at = part.indexOf('data: ')
      if (at >= 0) yield JSON.parse(part.slice(at + 6)) as Event
    }
  }
}

/** What came of a call of a plain service. */
export interface Called {
  readonly status: number
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken'
  readonly body: string
}

/**
 * Calls the plain service "registry".
 *
 * @param port - a host's port for callers
 * @param organisation - the caller's organisation
 * @param method - the HTTP method
 * @param path - the path below the service
 * @param nonce - names the call
 * @param key - the idempotency key, if one is sent
 * @returns what came of it
 */
export async function callService (
  port: number, organisation: string, method: 'GET' | 'POST', path: string, nonce: string, key?: string
): Promise<Called> {
  try {
    const headers: Record<string, string> = {
      authorization: `Bearer ${callerKeyOf(organisation)}`, 'content-type': 'application/json'
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
