import { type KeyRecord, merge } from './record.js'

/**
 * Decides what a holder keeps when the home gives it a record.
 *
 * @param mine - what the holder has, if anything
 * @param given - what the home wants kept
 * @returns what the holder keeps and answers with: a dispatch that it knows to be barred is not taken over
 */
export function receive (mine: KeyRecord | undefined, given: KeyRecord): KeyRecord {
  if (mine === undefined) return given
  if (mine.fingerprint !== given.fingerprint) return mine
  const isBarred = mine.place === undefined && given.place !== undefined && given.place.attempt <= mine.barred
  return isBarred ? mine : merge(mine, given)
}
