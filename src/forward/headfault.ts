import { isFinalStatus } from '../base/index.js'
import type { CallerRequest } from './callerrequest.js'
import type { HeaderNames } from './headernames.js'
import { findHeader, type RawHeaders, transferEncodings } from './headers.js'

/** Transfer encodings that servers may use, since requests state no others. */
const KNOWN_ENCODINGS: ReadonlySet<string> = new Set(['chunked', 'identity'])

/**
 * Checks the head of a response.
 *
 * @param request - the request
 * @param status - what stands in the place of the status
 * @param headers - a flat list of names and values
 * @param names - names of the headers that the scheduler reads
 * @returns why it is no response to the request, if it is none
 */
export function findHeadFault (
  request: CallerRequest, status: number, headers: RawHeaders, names: HeaderNames
): string | undefined {
  if (!isFinalStatus(status)) return `the status is ${status}`
  const encoding = transferEncodings(headers).find(name => !KNOWN_ENCODINGS.has(name))
  if (encoding !== undefined) return `the transfer encoding ${encoding} is unknown`
  const echoedId = findHeader(headers, names.attemptId)
  const isOther = request.attemptId !== undefined && echoedId !== undefined && echoedId !== request.attemptId
  return isOther ? 'the response belongs to another attempt' : undefined
}
