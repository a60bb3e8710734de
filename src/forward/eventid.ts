const ID_FIELD = Buffer.from('id:')
const NEWLINE = 10

/**
 * Reads the id of a server-sent event.
 *
 * @param event - one complete server-sent event
 * @returns its id, or undefined if it has none that is an integer
 */
export function parseEventId (event: Buffer): number | undefined {
  for (let at = 0; at < event.length;) {
    const end = event.indexOf(NEWLINE, at)
    if (event.subarray(at, at + ID_FIELD.length).equals(ID_FIELD)) {
      const value = Number(event.toString('latin1', at + ID_FIELD.length, end === -1 ? event.length : end).trim())
      return Number.isSafeInteger(value) ? value : undefined
    }
    if (end === -1) return undefined
    at = end + 1
  }
  return undefined
}
