import { Status } from './status.js'

/** Hop-by-hop headers, by RFC 9110 and RFC 9112. */
const HOP_BY_HOP: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate',
  'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Flat list of header names and values, as received. */
export type RawHeaders = readonly string[]

/**
 * Finds a header by its name; the case of the names in the list does not matter.
 *
 * @param headers - a flat list of names and values
 * @param name - the name, in lower case
 * @returns the first value of that name, or undefined
 */
export function findHeader (headers: RawHeaders, name: string): string | undefined {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]!.toLowerCase() === name) return headers[at + 1]
  }
  return undefined
}

/**
 * Copies the end-to-end headers.
 *
 * @param headers - a flat list of names and values
 * @param dropped - names of further headers to leave out, in lower case
 * @returns a new flat list
 */
export function endToEndHeaders (headers: RawHeaders, dropped: ReadonlySet<string>): string[] {
  const hopByHop = connectionOptions(headers)
  const kept: string[] = []
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase()
    if (HOP_BY_HOP.has(name) || dropped.has(name) || hopByHop.has(name)) continue
    kept.push(headers[at]!, headers[at + 1]!)
  }
  return kept
}

/** Headers that a Connection header lists are hop-by-hop too. */
function connectionOptions (headers: RawHeaders): ReadonlySet<string> {
  const value = findHeader(headers, 'connection')
  if (value === undefined) return new Set()
  return new Set(value.split(',').map(name => name.trim().toLowerCase()))
}

/**
 * @param headers - the headers of a response
 * @returns the names of the encodings that all Transfer-Encoding headers list, in their order and in lower case
 */
export function transferEncodings (headers: RawHeaders): string[] {
  const values = headers.filter((_, at) => at % 2 === 1 && headers[at - 1]!.toLowerCase() === 'transfer-encoding')
  return values.flatMap(value => value.split(',')).map(name => name.trim().toLowerCase()).filter(name => name !== '')
}

/**
 * @param method - the method of the request
 * @param status - the status of the response
 * @param headers - the headers of the response
 * @returns whether the end of the body is marked only by the end of the connection
 */
export function isCloseDelimited (method: string, status: number, headers: RawHeaders): boolean {
  if (method === 'HEAD' || status === Status.noContent || status === Status.notModified) return false
  const encodings = transferEncodings(headers)
  return encodings.length === 0 ? findHeader(headers, 'content-length') === undefined : encodings.at(-1) !== 'chunked'
}

/**
 * @param method - the method of the request
 * @param status - the status of the response
 * @param headers - the headers of the response
 * @returns the length of the body that the headers state, in bytes; 0 if there is no body or its length is not stated
 */
export function statedBodyLength (method: string, status: number, headers: RawHeaders): number {
  if (method === 'HEAD' || status === Status.notModified) return 0
  return Number(findHeader(headers, 'content-length') ?? 0)
}
