import { createHash, timingSafeEqual } from 'node:crypto'

/**
 * Hashes a secret for storage or comparison.
 *
 * @param secret - the secret in clear text
 * @returns its SHA-256 as lower-case hex
 */
export function digest (secret: string): string {
  return createHash('sha256').update(secret).digest('hex')
}

/**
 * Compares two secrets in a time that does not depend on where they differ, which prevents
 * timing attacks.
 *
 * @param a - one secret
 * @param b - the other
 * @returns whether they are equal
 */
export function areSecretsEqual (a: string, b: string): boolean {
  return timingSafeEqual(Buffer.from(digest(a)), Buffer.from(digest(b)))
}
