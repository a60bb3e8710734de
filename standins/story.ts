import { textOf } from './batch.js'
import { type Ask, callService, type Called, type Got, send } from './caller.js'

/** One attempt of a request, as its caller saw it. */
export interface Try {
  readonly sentAt: number
  readonly endedAt: number
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'broken'
  readonly reason: string
  /** Whether the answer is the whole answer to this very request. */
  readonly isRight: boolean
}

/** One request with all its attempts. */
export interface Story {
  readonly nonce: string
  readonly kind: 'draft' | 'call' | 'read'
  readonly tries: readonly Try[]
}

/** How a caller behaves that does not get an answer. */
export interface Patience {
  readonly tries: number
  readonly pauseMs: number
}

/** Chooses the port of the host that an attempt goes to. */
export type Route = (attempt: number) => number

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

async function attempts (patience: Patience, once: (attempt: number) => Promise<Omit<Try, 'sentAt' | 'endedAt'>>):
Promise<Try[]> {
  const tries: Try[] = []
  for (let attempt = 0; attempt < patience.tries; attempt++) {
    const sentAt = Date.now()
    const result = await once(attempt)
    tries.push({ sentAt, endedAt: Date.now(), ...result })
    if (result.outcome === 'answered') break
    await pause(patience.pauseMs)
  }
  return tries
}

function judgeDraft (ask: Ask, got: Got): Omit<Try, 'sentAt' | 'endedAt'> {
  const isRight = got.outcome === 'answered' && got.text === textOf(got.responseId, ask.tokens)
  return { outcome: got.outcome, reason: got.reason, isRight }
}

function judgeCall (nonce: string, called: Called): Omit<Try, 'sentAt' | 'endedAt'> {
  const isRight = called.outcome === 'answered' && called.status === 200 &&
    (JSON.parse(called.body) as { nonce: string }).nonce === nonce
  return { outcome: called.outcome, reason: called.outcome === 'answered' ? '' : called.body, isRight }
}

/**
 * Sends a request for an answer, again with the same key if need be.
 *
 * @param ask - the request with its key
 * @param route - chooses hosts
 * @param patience - how often it is sent
 * @returns its story
 */
export async function tellDraft (ask: Ask, route: Route, patience: Patience): Promise<Story> {
  const tries = await attempts(patience, async attempt => judgeDraft(ask, await send(route(attempt), ask)))
  return { nonce: ask.nonce, kind: 'draft', tries }
}

/**
 * Makes a call that may not be repeated, again with the same key if need be.
 *
 * @param organisation - the caller's organisation
 * @param nonce - names the call
 * @param route - chooses hosts
 * @param patience - how often it is sent
 * @returns its story
 */
export async function tellCall (organisation: string, nonce: string, route: Route, patience: Patience): Promise<Story> {
  const tries = await attempts(patience, async attempt =>
    judgeCall(nonce, await callService(route(attempt), organisation, 'POST', '/lodgements', nonce, `key-${nonce}`)))
  return { nonce, kind: 'call', tries }
}

/**
 * Makes a call that may be repeated.
 *
 * @param organisation - the caller's organisation
 * @param nonce - names the call
 * @param route - chooses hosts
 * @param patience - how often it is sent
 * @returns its story
 */
export async function tellRead (organisation: string, nonce: string, route: Route, patience: Patience): Promise<Story> {
  const tries = await attempts(patience, async attempt =>
    judgeCall(nonce, await callService(route(attempt), organisation, 'GET', `/status/${nonce}`, nonce)))
  return { nonce, kind: 'read', tries }
}
