const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Hashes a string to 32 bits (FNV-1a with a final mix). Hosts compare results,
 * so the function must not change between releases.
 *
 * @param text - the string to hash
 * @returns an unsigned 32-bit number
 */
export function hash (text: string): number {
  let value = FNV_OFFSET
  for (let i = 0; i < text.length; i++) value = Math.imul(value ^ text.charCodeAt(i), FNV_PRIME)
  return mix(value)
}

/**
 * Mixes 32 bits so that similar inputs give unrelated outputs (the finaliser of MurmurHash3).
 *
 * @param value - any 32-bit number
 * @returns an unsigned 32-bit number
 */
export function mix (value: number): number {
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}
