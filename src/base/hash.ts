const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Hashes a text to 32 bits. Equal on every host and in every release, since
 * hosts must agree on it.
 *
 * @param text - what to hash
 * @returns an unsigned 32-bit number
 */
export function hash (text: string): number {
  let value = FNV_OFFSET
  for (let i = 0; i < text.length; i++) value = Math.imul(value ^ text.charCodeAt(i), FNV_PRIME)
  return mix(value)
}

/**
 * Scrambles 32 bits so that near inputs give unrelated outputs.
 *
 * @param value - any 32-bit number
 * @returns an unsigned 32-bit number
 */
export function mix (value: number): number {
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}
