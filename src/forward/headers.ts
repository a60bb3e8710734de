/** Headers that concern one connection only, by RFC 9110 and RFC 9112. */
const HOP_BY_HOP: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate',
  'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Flat list of header names and values, as they came. */
export type RawHeaders = readonly string[]

/**
 * @param headers - a flat list of names and values
 * @param name - a name in lower case
 * @returns the first value of that name, or undefined
 */
export function headerOf (headers: RawHeaders, name: string): string | undefined {
  for (let at = 0; at + 1 < headers.length; at += 2) {
    if (headers[at]!.toLowerCase() === name) return headers[at + 1]
  }
  return undefined
}

/**
 * Copies headers that concern the whole way from end to end.
 *
 * @param headers - a flat list of names and values
 * @param dropped - further names to leave out, in lower case
 * @returns a new flat list
 */
export function endToEnd (headers: RawHeaders, dropped: ReadonlySet<string>): string[] {
  const named = connectionNames(headers)
  const kept: string[] = []
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase()
    if (HOP_BY_HOP.has(name) || dropped.has(name) || named.has(name)) continue
    kept.push(headers[at]!, headers[at + 1]!)
  }
  return kept
}

/** Names that a Connection header lists concern one connection too. */
function connectionNames (headers: RawHeaders): ReadonlySet<string> {
  const value = headerOf(headers, 'connection')
  if (value === undefined) return new Set()
  return new Set(value.split(',').map(name => name.trim().toLowerCase()))
}

/**
 * @param headers - the headers of an answer
 * @returns whether only the end of the connection tells the end of its body
 */
export function isUnframed (headers: RawHeaders): boolean {
  return headerOf(headers, 'content-length') === undefined && headerOf(headers, 'transfer-encoding') === undefined
}
