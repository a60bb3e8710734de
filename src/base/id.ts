import { randomBytes } from 'node:crypto'

/**
 * Makes a UUID of version 7, whose order follows its time.
 *
 * @param now - the present time, in milliseconds since the epoch
 * @param random - ten random bytes
 * @returns the UUID in its usual text form
 */
export function timeId (now: number, random: Uint8Array = randomBytes(10)): string {
  const bytes = Buffer.alloc(16)
  bytes.writeUIntBE(now, 0, 6)
  bytes.set(random.subarray(0, 10), 6)
  bytes[6] = (bytes[6]! & 0x0f) | 0x70
  bytes[8] = (bytes[8]! & 0x3f) | 0x80
  const hex = bytes.toString('hex')
  return `${hex.slice(0, 8)}-${hex.slice(8, 12)}-${hex.slice(12, 16)}-${hex.slice(16, 20)}-${hex.slice(20)}`
}
