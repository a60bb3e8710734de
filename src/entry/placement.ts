import { type Random, Ranking } from '../base/index.js'
import { type BackendServer, type Configuration, ServerKind } from '../config/index.js'
import type { Demand } from '../owner/index.js'

/** How many servers are asked for a forecast first. */
export const MAX_CANDIDATES = 3

/**
 * Lists the engine servers that accept new requests for a model.
 *
 * @param configuration - the current configuration
 * @param model - the model's name
 * @returns the servers that serve the model and are not draining
 */
export function eligibleServers (configuration: Configuration, model: string): BackendServer[] {
  return [...configuration.servers.values()].filter(server =>
    server.kind === ServerKind.engine && !server.draining && server.models.includes(model))
}

/**
 * Selects the servers to ask first: the one that the request's prefix hashes
 * to, which is likely to have the prefix in its cache, and random others.
 *
 * @param servers - the servers that could run the request
 * @param demand - what the request needs
 * @param random - the source of random numbers
 * @returns the names of the servers, the one for the prefix first
 */
export function selectCandidates (servers: readonly BackendServer[], demand: Demand, random: Random): string[] {
  const names = servers.map(server => server.name)
  const selected = new Set<string>()
  if (demand.prefix !== '') {
    const prefixServer = new Ranking(names).first(demand.prefix)
    if (prefixServer !== undefined) selected.add(prefixServer)
  }
  const others = names.filter(name => !selected.has(name))
  while (selected.size < MAX_CANDIDATES && others.length > 0) {
    const index = Math.floor(random.next() * others.length)
    selected.add(others[index]!)
    others.splice(index, 1)
  }
  return [...selected]
}
