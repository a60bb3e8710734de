import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { digest, Failure } from '../base/index.js'
import type { Configuration } from '../config/index.js'

/** A request with a missing, unknown or malformed credential or header. */
export class CallerFailure extends Failure<'unauthenticated' | 'malformed'> {}

/** Headers that may occur only once in a request. */
const SINGLE_VALUE_HEADERS = ['authorization', 'idempotency-key', 'content-type', 'content-length']
const MAX_KEY_CHARS = 200
const BEARER_PREFIX = 'Bearer '

function failure (code: 'unauthenticated' | 'malformed', message: string): CallerFailure {
  return new CallerFailure('CallerFailure', { code }, message)
}

/**
 * Rejects a request in which a single-value header occurs more than once.
 *
 * @param rawHeaders - alternating header names and values, as received
 * @returns nothing, or a failure that names the duplicate header
 */
export function checkDuplicateHeaders (rawHeaders: IncomingMessage['rawHeaders']): Result<void, CallerFailure> {
  const names = rawHeaders.filter((_, i) => i % 2 === 0).map(name => name.toLowerCase())
  const duplicate = SINGLE_VALUE_HEADERS.find(name => names.filter(other => other === name).length > 1)
  return duplicate === undefined
    ? ok(undefined)
    : err(failure('malformed', `header "${duplicate}" occurs more than once`))
}

/**
 * @param header - the Authorization header, or undefined if it is absent
 * @returns the bearer token, or an empty string if there is none
 */
export function bearerToken (header: string | undefined): string {
  return header?.startsWith(BEARER_PREFIX) === true ? header.slice(BEARER_PREFIX.length) : ''
}

/**
 * Finds the organisation that an API key belongs to. Keys are looked up by
 * their hash, so that the duration of the look-up reveals nothing about them.
 *
 * @param header - the Authorization header, or undefined if it is absent
 * @param configuration - the current configuration
 * @returns the organisation's name, or an `unauthenticated` failure
 */
export function authenticateOrganisation (header: string | undefined, configuration: Configuration):
Result<string, CallerFailure> {
  const organisation = configuration.organisationOf(digest(bearerToken(header)))
  if (organisation !== undefined) return ok(organisation)
  return err(failure('unauthenticated', 'the API key is missing or unknown'))
}

/**
 * Validates the idempotency key of a request.
 *
 * @param header - the Idempotency-Key header, or undefined if it is absent
 * @returns the key, undefined if the caller sent none, or a `malformed` failure
 */
export function parseIdempotencyKey (header: string | undefined): Result<string | undefined, CallerFailure> {
  if (header === undefined) return ok(undefined)
  const key = header.trim()
  if (key.length > 0 && key.length <= MAX_KEY_CHARS && /^[\x21-\x7e]+$/.test(key)) return ok(key)
  return err(failure('malformed', `Idempotency-Key: expected 1 to ${MAX_KEY_CHARS} printable characters`))
}
