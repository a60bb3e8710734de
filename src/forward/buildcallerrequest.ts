import type { IncomingMessage } from 'node:http'
import type { CallerRequest } from './callerrequest.js'
import type { HeaderNames } from './headernames.js'
import { findHeader } from './headers.js'
import {
  computeFingerprint, estimateOutputTokens, parseSharedPromptParts, parseTokenUsage, quotaUnits, type RouteMatch
} from './requestfields.js'

/** Deadline of requests that state none, in milliseconds after arrival. */
const DEFAULT_DEADLINE_MS = 60_000

/**
 * Builds the request of a caller from what was received.
 *
 * @param names - names of the headers that the scheduler reads
 * @param message - the request; only its head is read
 * @param body - its body
 * @param match - its route, and the organisation that sent it
 * @param arrivedAt - monotonic time of arrival, in milliseconds
 * @returns the request
 */
export function buildCallerRequest (
  names: HeaderNames, message: IncomingMessage, body: Buffer, match: RouteMatch, arrivedAt: number
): CallerRequest {
  const headers = message.rawHeaders
  const { route, organisation } = match
  const [promptTokens, maxOutputTokens] = parseTokenUsage(findHeader(headers, names.tokenUsage))
  const statedMs = Number(findHeader(headers, names.deadline) ?? DEFAULT_DEADLINE_MS)
  const remainingMs = Number.isFinite(statedMs) ? statedMs : DEFAULT_DEADLINE_MS
  // A caller that retries states less time than its route allows: the difference was spent on earlier attempts.
  const spentMs = Math.max(0, route.timeoutMs - remainingMs)
  const lastEventId = findHeader(headers, names.lastEventId)
  return {
    attemptId: findHeader(headers, names.attemptId),
    method: message.method ?? 'GET',
    target: message.url ?? '/',
    headers,
    body,
    fingerprint: computeFingerprint(message, organisation, body),
    route,
    organisation,
    promptTokens,
    sharedPromptParts: parseSharedPromptParts(findHeader(headers, names.promptParts)),
    expectedTokens: estimateOutputTokens(maxOutputTokens, findHeader(headers, names.lengthHint)),
    units: quotaUnits(organisation, promptTokens + maxOutputTokens),
    lastEventId: lastEventId === undefined ? undefined : Number(lastEventId),
    arrivedAt,
    objectiveAt: arrivedAt - spentMs + route.objectiveMs,
    deadlineAt: arrivedAt + Math.min(remainingMs, route.timeoutMs)
  }
}
