import type { Fleet } from '../fleet/index.js'
import type { Delivery } from './delivery.js'

/**
 * Silence after which a server that is no longer listed counts as lost, in milliseconds. A server that leaves
 * unannounced still responds for a few seconds.
 */
const REMOVED_SERVER_SILENCE_MS = 3_000

/**
 * @param delivery - a request that was sent to a server
 * @param fleet - the servers
 * @param now - monotonic time, in milliseconds
 * @returns whether the server counts as lost: it is no longer listed, and silent
 */
export function isServerGone (delivery: Delivery, fleet: Fleet, now: number): boolean {
  return delivery.silenceMs(now) > REMOVED_SERVER_SILENCE_MS && !fleet.isCurrent(delivery.server)
}
