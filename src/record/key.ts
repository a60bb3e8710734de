import { timeId } from '../base/index.js'

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
