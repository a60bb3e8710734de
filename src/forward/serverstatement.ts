import { SECOND_MS } from '../base/index.js'
import type { HeaderNames } from './headernames.js'
import { findHeader, type RawHeaders } from './headers.js'
import { Status } from './status.js'

/** A decimal number with as many places as a double may be written with. */
const DECIMAL = /^(\d{1,9}(\.\d{0,20})?|\.\d{1,20})$/

/** What a server says of itself in a response. */
export interface ServerStatement {
  /** Requests per second that it accepts from all hosts together; undefined if it states no valid limit. */
  readonly requestsPerS: number | undefined
  /** Rejections per second for want of room that it endures; undefined if it does not say that it is brittle. */
  readonly rejectionsPerS: number | undefined
  /** Whether it leaves. */
  readonly isLeaving: boolean
  /** How long it wants no requests from this host, in milliseconds; undefined if it asks for no valid pause. */
  readonly pauseMs: number | undefined
}

/**
 * @param status - the status of a server's response
 * @param headers - its headers
 * @param names - names of the headers that the scheduler reads
 * @returns what the server says of itself
 */
export function readServerStatement (status: number, headers: RawHeaders, names: HeaderNames): ServerStatement {
  const pauseS = status === Status.unavailable ? readDecimal(headers, 'retry-after') : undefined
  return {
    requestsPerS: readDecimal(headers, names.requestLimit),
    rejectionsPerS: readDecimal(headers, names.brittleness),
    isLeaving: findHeader(headers, names.leaving)?.trim() === '1',
    pauseMs: pauseS === undefined ? undefined : pauseS * SECOND_MS
  }
}

function readDecimal (headers: RawHeaders, name: string): number | undefined {
  const value = findHeader(headers, name)?.trim()
  return value !== undefined && DECIMAL.test(value) ? Number(value) : undefined
}
