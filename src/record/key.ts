import { uuidV7 } from '../base/index.js'
import { CLOCK_SKEW_MS } from './record.js'

const MINTED_KEY = /^~([^~]+)~/

/**
 * Mints a key for a request that its caller sent without one. The minting host is the key's coordinator. No other
 * host can receive a request with this key, so its record needs no second replica.
 *
 * @param member - id of the member that mints the key
 * @param now - the current time, in milliseconds since the epoch
 * @returns the minted key
 */
export function mintKey (member: string, now: number): string {
  return `~${member}~${uuidV7(now)}`
}

/**
 * Extracts the minting member from a key.
 *
 * @param key - an idempotency key
 * @returns id of the member that minted it, or undefined if the key came from a caller
 */
export function mintedBy (key: string): string | undefined {
  return MINTED_KEY.exec(key)?.[1]
}

const UUID_V7 = /([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/**
 * Extracts the creation time of a key that ends in a UUID of version 7.
 *
 * @param key - an idempotency key
 * @param now - the current time, in milliseconds since the epoch
 * @returns the earliest time at which the key can have been created, given the clock skew, in milliseconds since the
 *   epoch; undefined if the key ends in no such UUID or its time lies in the future
 */
export function creationTime (key: string, now: number): number | undefined {
  const match = UUID_V7.exec(key)
  if (match === null) return undefined
  const createdAt = parseInt(match[1]! + match[2]!, 16)
  return createdAt > now + CLOCK_SKEW_MS ? undefined : createdAt - CLOCK_SKEW_MS
}

/**
 * Scopes a caller's key to its organisation, so that equal keys of different organisations get separate records.
 *
 * @param organisation - the organisation's name
 * @param key - the key as the caller sent it
 * @returns the key under which the request is recorded
 */
export function scopedKey (organisation: string, key: string): string {
  return `${organisation}/${key}`
}
