import { createHash, timingSafeEqual } from 'node:crypto'

/**
 * Hashes a secret for keeping or comparing.
 *
 * @param secret - the secret as sent
 * @returns its SHA-256 as lower-case hex
 */
export function digest (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

/**
 * Compares two secrets in a time that does not depend on where they differ.
 *
 * @param a - one secret
 * @param b - the other
 * @returns whether they are equal
 */
export function sameSecret (a: string, b: string): boolean {
  return timingSafeEqual(Buffer.from(digest(a)), Buffer.from(digest(b)))
}
