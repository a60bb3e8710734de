import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { type Deployment, type Organisation, type Route, QuotaUnit } from '../routing/index.js'
import { findHeader } from './headers.js'
import { Status } from './status.js'

/** Share of the token limit that a response is expected to use if the caller gives no estimate: lengths vary widely. */
const DEFAULT_OUTPUT_SHARE = 0.1

/** Number of leading parts of a prompt that are considered. */
const MAX_PROMPT_PARTS = 32

/** Longest id of a part of a prompt that is considered, in characters. */
const MAX_PROMPT_PART_ID_LENGTH = 64

/** The route of a request, and the organisation that sent it. */
export interface RouteMatch {
  readonly route: Route
  readonly organisation: Organisation | undefined
}

/**
 * Finds the route of a request and checks the caller's key.
 *
 * @param deployment - the current deployment
 * @param message - the request; only its headers are read
 * @param keyName - name of the header with the caller's key
 * @returns route and organisation, or the HTTP status to reject the request with
 */
export function matchRoute (deployment: Deployment, message: IncomingMessage, keyName: string): RouteMatch | number {
  const route = deployment.findRoute(message.headers.host ?? '', message.url ?? '/')
  if (route === undefined) return Status.notFound
  if (route.isPublic || !deployment.requiresKeys) return { route, organisation: undefined }
  const organisation = deployment.findOrganisation(findHeader(message.rawHeaders, keyName) ?? '')
  return organisation === undefined ? Status.unauthorised : { route, organisation }
}

/**
 * @param headers - a flat list of names and values
 * @returns approximate length of the header block, in bytes
 */
export function headerBlockBytes (headers: readonly string[]): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0)
}

/**
 * Parses the header that states a request's tokens.
 *
 * @param usage - number of prompt tokens and greatest number of output tokens, separated by a comma
 * @returns both numbers; zeros if the header is missing or malformed
 */
export function parseTokenUsage (usage: string | undefined): readonly [number, number] {
  const [prompt, output] = (usage ?? '').split(',').map(Number)
  const isValid = prompt !== undefined && output !== undefined && Number.isFinite(prompt) && Number.isFinite(output)
  return isValid ? [prompt, output] : [0, 0]
}

/**
 * Parses the header that lists the parts of a request's prompt. The last part belongs to the request or its session.
 *
 * @param entries - the parts in order, as ID:TOKENS entries separated by commas
 * @returns the ids of all parts but the last, each once; empty if the header is missing
 */
export function parseSharedPromptParts (entries: string | undefined): readonly string[] {
  const ids = (entries ?? '').split(',').slice(0, -1).slice(0, MAX_PROMPT_PARTS)
    .map(entry => entry.split(':')[0]!.trim().toLowerCase())
  return [...new Set(ids)].filter(id => id !== '' && id.length <= MAX_PROMPT_PART_ID_LENGTH)
}

/**
 * Estimates the length of a response. Callers state a limit, which says little about the actual length, and may add
 * an estimate.
 *
 * @param maxTokens - the greatest number of tokens that the response may have
 * @param hint - the caller's estimate, if there is one
 * @returns the expected number of tokens
 */
export function estimateOutputTokens (maxTokens: number, hint: string | undefined): number {
  const estimate = Number(hint ?? NaN)
  return Number.isFinite(estimate) ? Math.min(maxTokens, estimate) : maxTokens * DEFAULT_OUTPUT_SHARE
}

/**
 * @param organisation - the organisation that sent the request, if known
 * @param tokens - prompt tokens plus the greatest number of output tokens; 0 if not stated
 * @returns units of quota that the request uses
 */
export function quotaUnits (organisation: Organisation | undefined, tokens: number): number {
  if (organisation === undefined || organisation.unit === QuotaUnit.requests) return 1
  return tokens > 0 ? tokens : organisation.defaultTokens
}

/**
 * @param message - the request; only its method and URL are read
 * @param organisation - the organisation that sent it, if known
 * @param body - its body
 * @returns a hash that is equal for requests with the same method, path, organisation and body
 */
export function computeFingerprint (
  message: IncomingMessage, organisation: Organisation | undefined, body: Buffer
): string {
  const prefix = `${message.method ?? ''} ${message.url ?? ''} ${organisation?.name ?? ''}\n`
  return createHash('sha1').update(prefix).update(body).digest('base64url')
}
