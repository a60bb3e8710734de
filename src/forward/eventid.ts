const FIELD = Buffer.from('id:')
const NEWLINE = 10

/**
 * @param event - one whole server-sent event
 * @returns its id, or undefined if it has none that is a whole number
 */
export function eventId (event: Buffer): number | undefined {
  for (let at = 0; at < event.length;) {
    const end = event.indexOf(NEWLINE, at)
    if (event.subarray(at, at + FIELD.length).equals(FIELD)) {
      const value = Number(event.toString('latin1', at + FIELD.length, end === -1 ? event.length : end).trim())
      return Number.isSafeInteger(value) ? value : undefined
    }
    if (end === -1) return undefined
    at = end + 1
  }
  return undefined
}
