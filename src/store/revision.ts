/**
 * Number of versions in one era of the store. An era begins when the store returns from a copy, from which on it gives
 * out versions a second time. Large enough for years of writes, and small enough for thousands of eras in a double.
 */
const ERA_VERSIONS = 2 ** 40

/** Eras beyond this one can't be told apart. */
export const MAX_ERA = 2 ** 12 - 1

/**
 * @param era - era of the store, 0 if it states none
 * @param version - the store's version within the era
 * @returns a revision that is higher than those of all earlier eras
 */
export function revisionOf (era: number, version: number): number {
  return era * ERA_VERSIONS + version
}

/**
 * @param revision - a revision
 * @returns the era of the store in which it was given out
 */
export function eraOf (revision: number): number {
  return Math.floor(revision / ERA_VERSIONS)
}

/**
 * @param revision - a revision
 * @returns the store's version within its era
 */
export function versionOf (revision: number): number {
  return revision % ERA_VERSIONS
}

/**
 * @param value - a number of a message, which may be malformed
 * @returns whether it can be a revision
 */
export function isRevision (value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0 && eraOf(value) <= MAX_ERA
}
