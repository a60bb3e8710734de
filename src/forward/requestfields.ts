import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import { type Deployment, type Organisation, type Route, Unit } from '../routing/index.js'
import { headerOf } from './headers.js'
import { Status } from './status.js'

/** Part of the most tokens that an answer has if its caller gives no estimate: lengths are spread widely. */
const UNSTATED_LENGTH_PART = 0.1

/** What a request was matched to. */
export interface Found {
  readonly route: Route
  readonly organisation: Organisation | undefined
}

/**
 * @param deployment - what operators state
 * @param message - the request's head
 * @param keyName - the header that holds the caller's key
 * @returns route and organisation, or the status of the refusal
 */
export function identify (deployment: Deployment, message: IncomingMessage, keyName: string): Found | number {
  const route = deployment.match(message.headers.host ?? '', message.url ?? '/')
  if (route === undefined) return Status.notFound
  if (route.isPublic || !deployment.needsKeys) return { route, organisation: undefined }
  const organisation = deployment.organisationOf(headerOf(message.rawHeaders, keyName) ?? '')
  return organisation === undefined ? Status.unauthorised : { route, organisation }
}

/**
 * @param headers - a flat list of names and values
 * @returns about how long the header block was, in bytes
 */
export function lengthOf (headers: readonly string[]): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0)
}

/**
 * @param usage - prompt tokens and most output tokens, with a comma between; undefined if not stated
 * @returns both; zeros if they are not stated
 */
export function tokensOf (usage: string | undefined): readonly [number, number] {
  const [prompt, output] = (usage ?? '').split(',').map(Number)
  const isSound = prompt !== undefined && output !== undefined && Number.isFinite(prompt) && Number.isFinite(output)
  return isSound ? [prompt, output] : [0, 0]
}

/**
 * Callers state a most, which says little, and perhaps an estimate.
 *
 * @param most - the most tokens that the answer may have
 * @param hint - the estimate, if there is one
 * @returns how many tokens the answer will likely have
 */
export function expectedTokens (most: number, hint: string | undefined): number {
  const estimate = Number(hint ?? NaN)
  return Number.isFinite(estimate) ? Math.min(most, estimate) : most * UNSTATED_LENGTH_PART
}

/**
 * @param organisation - who sends the request, if known
 * @param tokens - prompt and most output tokens; 0 if not stated
 * @returns what it counts against the allowance
 */
export function unitsOf (organisation: Organisation | undefined, tokens: number): number {
  if (organisation === undefined || organisation.unit === Unit.requests) return 1
  return tokens > 0 ? tokens : organisation.plainTokens
}

/**
 * @param message - the request's head
 * @param organisation - who sends it, if known
 * @param body - its body
 * @returns a text that is alike for requests with the same path, organisation and body
 */
export function fingerprintOf (message: IncomingMessage, organisation: Organisation | undefined, body: Buffer): string {
  const what = `${message.method ?? ''} ${message.url ?? ''} ${organisation?.name ?? ''}\n`
  return createHash('sha1').update(what).update(body).digest('base64url')
}
