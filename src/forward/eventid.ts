const ID_FIELD = Buffer.from('id:')
const DATA_FIELD = Buffer.from('data')
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
    if (hasBytesAt(event, at, ID_FIELD)) {
      const value = Number(event.toString('latin1', at + ID_FIELD.length, end === -1 ? event.length : end).trim())
      return Number.isSafeInteger(value) ? value : undefined
    }
    if (end === -1) return undefined
    at = end + 1
  }
  return undefined
}

/**
 * @param event - one complete server-sent event
 * @returns whether it has data; without, it is a comment or empty
 */
export function hasEventData (event: Buffer): boolean {
  for (let at = 0; at < event.length; at = event.indexOf(NEWLINE, at) + 1) {
    if (hasBytesAt(event, at, DATA_FIELD)) return true
  }
  return false
}

function hasBytesAt (event: Buffer, at: number, expected: Buffer): boolean {
  for (let i = 0; i < expected.length; i++) {
    if (event[at + i] !== expected[i]) return false
  }
  return true
}
