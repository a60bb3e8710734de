const PERMANENT_REASONS: ReadonlySet<string> = new Set(['invalid', 'mismatch'])
const FENCED_REASONS: ReadonlySet<string> = new Set(['barred', 'refused', 'home-unavailable'])
const OWNER_CHANGE_REASONS: ReadonlySet<string> = new Set(['moved', 'draining'])

/**
 * @param reason - why an owner did not run a request
 * @returns whether every other server would reject the request too
 */
export function isPermanent (reason: string): boolean {
  return PERMANENT_REASONS.has(reason)
}

/**
 * @param reason - why an owner did not run a request
 * @returns whether the attempt may no longer be dispatched, so that a new one must be opened for another server
 */
export function isAttemptFenced (reason: string): boolean {
  return FENCED_REASONS.has(reason)
}

/**
 * @param reason - why an owner did not run a request
 * @returns whether the server's owner is changing, so that the same server may be tried again
 */
export function isOwnerChanging (reason: string): boolean {
  return OWNER_CHANGE_REASONS.has(reason)
}
