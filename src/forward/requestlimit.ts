import type { HeaderNames } from './headernames.js'
import { findHeader, type RawHeaders } from './headers.js'

/** A decimal number with as many places as a double may be written with. */
const DECIMAL = /^(\d{1,9}(\.\d{0,20})?|\.\d{1,20})$/

/**
 * @param headers - the headers of a server's response
 * @param names - names of the headers that the scheduler reads
 * @returns requests per second that the server accepts from all hosts together; undefined if it states no valid limit
 */
export function readRequestLimit (headers: RawHeaders, names: HeaderNames): number | undefined {
  const value = findHeader(headers, names.requestLimit)?.trim()
  return value !== undefined && DECIMAL.test(value) ? Number(value) : undefined
}
