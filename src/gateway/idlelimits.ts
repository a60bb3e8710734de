import type { BackendServer } from '../fleet/index.js'
import type { Deployment } from '../routing/index.js'

/** Idle connections that one host keeps to a server whose connection limit is unknown. */
const DEFAULT_IDLE_LIMIT = 4

/** Connections to a server that may be in use at once, per slot; includes those that are about to close. */
const USED_CONNECTIONS_PER_SLOT = 2

/**
 * Computes how many idle connections this host may keep to each server. A server accepts a limited number of
 * connections from all hosts together. The slots limit how many are in use; the hosts share the rest as idle ones.
 *
 * @param servers - the usable servers
 * @param deployment - the deployment, if known; states the connection limits
 * @param hostCount - number of hosts
 * @returns the limit of idle connections by server address
 */
export function computeIdleLimits (
  servers: readonly BackendServer[], deployment: Deployment | undefined, hostCount: number
): ReadonlyMap<string, number> {
  return new Map(servers.map(server => {
    const maxConnections = deployment?.services.get(server.service)?.maxConnections
    const idle = maxConnections === undefined
      ? DEFAULT_IDLE_LIMIT
      : Math.floor((maxConnections - USED_CONNECTIONS_PER_SLOT * server.slots) / Math.max(1, hostCount))
    return [server.address, Math.max(0, idle)]
  }))
}
