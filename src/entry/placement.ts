import { Ranking, type Random } from '../base/index.js'
import { type BackendServer, type Configuration, Kind } from '../config/index.js'
import type { Demand } from '../owner/index.js'

/** How many servers are asked first. */
export const CANDIDATES = 3

/**
 * Lists the servers that could take a request.
 *
 * @param configuration - the configuration in force
 * @param model - the model that must be served
 * @returns the servers that take new work
 */
export function serversFor (configuration: Configuration, model: string): BackendServer[] {
  return [...configuration.servers.values()].filter(server =>
    server.kind === Kind.engine && !server.draining && server.models.includes(model))
}

/**
 * Chooses the servers to ask first: the one whose cache the request's prefix
 * belongs to, and others at random.
 *
 * @param servers - the servers that could take the request
 * @param demand - the request
 * @param random - a source of random numbers
 * @returns names of servers, the one with the likely cached prefix first
 */
export function candidates (servers: readonly BackendServer[], demand: Demand, random: Random): string[] {
  const names = servers.map(server => server.name)
  const chosen = new Set<string>()
  if (demand.prefix !== '') {
    const favourite = new Ranking(names).first(demand.prefix)
    if (favourite !== undefined) chosen.add(favourite)
  }
  const others = names.filter(name => !chosen.has(name))
  while (chosen.size < CANDIDATES && others.length > 0) {
    const at = Math.floor(random.next() * others.length)
    chosen.add(others[at]!)
    others.splice(at, 1)
  }
  return [...chosen]
}
