import { randomBytes } from 'node:crypto'

const RANDOM_BYTES = 10
const POOL_BYTES = 4_000

let pool = Buffer.alloc(0)

/** Takes random bytes from a pool, since asking for a few at a time is slow. */
function fewRandomBytes (): Uint8Array {
  if (pool.length < RANDOM_BYTES) pool = randomBytes(POOL_BYTES)
  const taken = pool.subarray(0, RANDOM_BYTES)
  pool = pool.subarray(RANDOM_BYTES)
  return taken
}

/**
 * Makes a UUID of version 7, whose order follows its time.
 *
 * @param now - the present time, in milliseconds since the epoch
 * @param random - ten random bytes
 * @returns the UUID in its usual text form
 */
export function timeId (now: number, random: Uint8Array = fewRandomBytes()): string {
  const bytes = Buffer.alloc(16)
  bytes.writeUIntBE(now, 0, 6)
  bytes.set(random.subarray(0, RANDOM_BYTES), 6)
  bytes[6] = (bytes[6]! & 0x0f) | 0x70
  bytes[8] = (bytes[8]! & 0x3f) | 0x80
  const hex = bytes.toString('hex')
  return `${hex.slice(0, 8)}-${hex.slice(8, 12)}-${hex.slice(12, 16)}-${hex.slice(16, 20)}-${hex.slice(20)}`
}
