import { Outcome } from '../schedule/index.js'
import type { HeaderNames } from './headernames.js'
import { findHeader, type RawHeaders } from './headers.js'
import { Status } from './status.js'

/**
 * @param status - the status of a complete response
 * @param headers - its headers
 * @param names - names of the headers that the scheduler reads
 * @returns the outcome of the request at the server
 */
export function classifyResponse (status: number, headers: RawHeaders, names: HeaderNames): Outcome {
  if (status === Status.misdirected) return Outcome.misdirected
  if (findHeader(headers, names.notRun) !== undefined) return Outcome.rejected
  if (status >= Status.serverError) return Outcome.failed
  return status >= Status.redirection ? Outcome.declined : Outcome.done
}
