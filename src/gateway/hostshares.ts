import type { Hub } from '../dispatch/index.js'
import type { HostShares } from '../schedule/index.js'
import type { Membership } from './membership.js'

/**
 * @param hub - knows the connected hosts
 * @param host - name of this host
 * @returns names of the hosts that are linked to the scheduler of this process, including this host
 */
export function linkedHosts (hub: Hub, host: string): Set<string> {
  return new Set([...hub.connectedHosts, host])
}

/**
 * Computes which shares of the hosts use the scheduler of this process. A new scheduler has its full shares once all
 * members are linked and settled.
 *
 * @param hub - knows the linked hosts
 * @param membership - knows all hosts
 * @param host - name of this host
 * @param now - monotonic time, in milliseconds
 * @returns the shares
 */
export function computeHostShares (hub: Hub, membership: Membership, host: string, now: number): HostShares {
  const memberCount = Math.max(1, membership.list().length)
  return {
    connected: Math.min(1, linkedHosts(hub, host).size / memberCount),
    // Any number of hosts may use other schedulers as long as the members are not known.
    settled: membership.isKnown ? Math.min(1, hub.settledHostCount(now) / memberCount) : 0
  }
}
