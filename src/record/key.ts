import { timeId } from '../base/index.js'
import { CLOCK_SKEW_MS } from './record.js'

const MINTED = /^~([^~]+)~/

/**
 * Makes a key for a request whose caller sent none. The host that makes it is
 * its home: nobody else can send it, so it needs no second holder.
 *
 * @param member - the member that makes the key
 * @param now - the present time, in milliseconds since the epoch
 * @returns the key
 */
export function mintKey (member: string, now: number): string {
  return `~${member}~${timeId(now)}`
}

/**
 * @param key - a request's key
 * @returns the member that minted it, or undefined for a caller's own key
 */
export function mintedBy (key: string): string | undefined {
  return MINTED.exec(key)?.[1]
}

const TIME_ID = /([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/**
 * Tells when a key was made, if it ends in a UUID of version 7.
 *
 * @param key - a request's key
 * @param now - the present time, in milliseconds since the epoch
 * @returns the time in it, or undefined if there is none or it lies in the future
 */
export function bornAt (key: string, now: number): number | undefined {
  const match = TIME_ID.exec(key)
  if (match === null) return undefined
  const born = parseInt(match[1]! + match[2]!, 16)
  return born > now + CLOCK_SKEW_MS ? undefined : born - CLOCK_SKEW_MS
}

/**
 * Makes the key under which a caller's own key is recorded. The same key of
 * another organisation is another key.
 *
 * @param organisation - the organisation's name
 * @param key - the key as the caller sent it
 * @returns the key
 */
export function callerKey (organisation: string, key: string): string {
  return `${organisation}/${key}`
}
