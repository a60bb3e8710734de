import type { BackendServer } from '../fleet/index.js'
import type { Deployment } from '../routing/index.js'

/** Idle connections to a server that one host keeps while it does not know what the server bears. */
const UNKNOWN_IDLE = 4

/** Times its slots that a server's connections may be in use at once, those that are about to close included. */
const USED_SLOTS = 2

/**
 * Divides the connections that servers take from all hosts together. What is in use is bounded by the servers' slots;
 * the rest may be idle.
 *
 * @param servers - that may get work
 * @param deployment - what operators state, if it is known
 * @param hosts - how many hosts there are
 * @returns how many idle connections this host may keep to each address
 */
export function idleBounds (
  servers: readonly BackendServer[], deployment: Deployment | undefined, hosts: number
): ReadonlyMap<string, number> {
  return new Map(servers.map(server => {
    const most = deployment?.services.get(server.service)?.maxConnections
    const idle = most === undefined ? UNKNOWN_IDLE : Math.floor((most - USED_SLOTS * server.slots) / Math.max(1, hosts))
    return [server.address, Math.max(0, idle)]
  }))
}
