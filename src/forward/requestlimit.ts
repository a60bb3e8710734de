import type { HeaderNames } from './headernames.js'
import { findHeader, type RawHeaders } from './headers.js'

const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/

/**
 * @param headers - the headers of a server's response
 * @param names - names of the headers that the scheduler reads
 * @returns requests per second that the server accepts from all hosts together; undefined if it states no valid limit
 */
export function readRequestLimit (headers: RawHeaders, names: HeaderNames): number | undefined {
  const value = findHeader(headers, names.requestLimit)?.trim()
  return value !== undefined && DECIMAL.test(value) ? Number(value) : undefined
}
