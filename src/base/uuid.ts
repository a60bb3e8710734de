import { randomBytes } from 'node:crypto'

const UUID_RANDOM_BYTES = 10
const POOL_BYTES = 4_000

let pool = Buffer.alloc(0)

/** Takes random bytes from a buffered pool, because a call of `randomBytes` for each UUID is slow. */
function takeRandomBytes (): Uint8Array {
  if (pool.length < UUID_RANDOM_BYTES) pool = randomBytes(POOL_BYTES)
  const taken = pool.subarray(0, UUID_RANDOM_BYTES)
  pool = pool.subarray(UUID_RANDOM_BYTES)
  return taken
}

/**
 * Creates a version 7 UUID. Such UUIDs sort by creation time.
 *
 * @param now - current time, in milliseconds since the epoch
 * @param random - ten random bytes
 * @returns the UUID in canonical text form
 */
export function uuidV7 (now: number, random: Uint8Array = takeRandomBytes()): string {
  const bytes = Buffer.alloc(16)
  bytes.writeUIntBE(now, 0, 6)
  bytes.set(random.subarray(0, UUID_RANDOM_BYTES), 6)
  bytes[6] = (bytes[6]! & 0x0f) | 0x70
  bytes[8] = (bytes[8]! & 0x3f) | 0x80
  const hex = bytes.toString('hex')
  return `${hex.slice(0, 8)}-${hex.slice(8, 12)}-${hex.slice(12, 16)}-${hex.slice(16, 20)}-${hex.slice(20)}`
}
