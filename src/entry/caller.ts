import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { digest, Failure } from '../base/index.js'
import type { Configuration } from '../config/index.js'

/** Says that a request names no caller that may send it, or names one twice. */
export class CallerFailure extends Failure<'unauthenticated' | 'malformed'> {}

/** Headers that must not come twice. */
const SINGLE = ['authorization', 'idempotency-key', 'content-type', 'content-length']
const GREATEST_KEY_CHARS = 200
const BEARER = 'Bearer '

function failure (code: 'unauthenticated' | 'malformed', message: string): CallerFailure {
  return new CallerFailure('CallerFailure', { code }, message)
}

/**
 * Refuses requests in which a header stands twice that may stand once.
 *
 * @param raw - names and values by turns, as they came
 * @returns nothing, or which header is doubled
 */
export function checkHeaders (raw: IncomingMessage['rawHeaders']): Result<void, CallerFailure> {
  const names = raw.filter((_, i) => i % 2 === 0).map(name => name.toLowerCase())
  const doubled = SINGLE.find(name => names.filter(each => each === name).length > 1)
  return doubled === undefined ? ok(undefined) : err(failure('malformed', `header "${doubled}" stands twice`))
}

/**
 * @param header - the authorization header, if it came
 * @returns the key in it, or an empty text
 */
export function bearer (header: string | undefined): string {
  return header?.startsWith(BEARER) === true ? header.slice(BEARER.length) : ''
}

/**
 * Finds the organisation that a request is sent for. Keys are looked up by
 * their hash, so that the time taken tells nothing about them.
 *
 * @param header - the authorization header, if it came
 * @param configuration - the configuration in force
 * @returns the organisation's name
 */
export function organisationFor (header: string | undefined, configuration: Configuration):
Result<string, CallerFailure> {
  const organisation = configuration.organisationOf(digest(bearer(header)))
  if (organisation !== undefined) return ok(organisation)
  return err(failure('unauthenticated', 'the key is missing or belongs to no organisation'))
}

/**
 * Reads the caller's idempotency key.
 *
 * @param header - the header, if it came
 * @returns the key, or undefined if the caller sent none
 */
export function idempotencyKey (header: string | undefined): Result<string | undefined, CallerFailure> {
  if (header === undefined) return ok(undefined)
  const key = header.trim()
  if (key.length > 0 && key.length <= GREATEST_KEY_CHARS && /^[\x21-\x7e]+$/.test(key)) return ok(key)
  return err(failure('malformed', `Idempotency-Key: expected 1 to ${GREATEST_KEY_CHARS} printable characters`))
}
