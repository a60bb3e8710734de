const FINAL: ReadonlySet<string> = new Set(['invalid', 'mismatch'])
const BARRING: ReadonlySet<string> = new Set(['barred', 'refused', 'home-unavailable'])
const MOVING: ReadonlySet<string> = new Set(['moved', 'draining'])

/**
 * @param reason - why a request was not run by an owner
 * @returns whether another server would be of no use
 */
export function isFinal (reason: string): boolean {
  return FINAL.has(reason)
}

/**
 * @param reason - why a request was not run by an owner
 * @returns whether its attempt is barred, so that another server needs a new one
 */
export function hasBarred (reason: string): boolean {
  return BARRING.has(reason)
}

/**
 * @param reason - why a request was not run by an owner
 * @returns whether the server's owner is changing, so that it may be asked again
 */
export function isMoving (reason: string): boolean {
  return MOVING.has(reason)
}
