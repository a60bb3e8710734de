import type { CallerLimits } from './limits.js'
import type { Organisation } from './organisation.js'
import type { Route } from './route.js'
import type { BackendService } from './service.js'

/** The operators' configuration as one immutable value, from which a {@link Deployment} is built. */
export interface DeploymentParts {
  /** Of two deployments, the one with the higher revision is newer. */
  readonly revision: number
  readonly routes: readonly Route[]
  readonly services: readonly BackendService[]
  readonly organisations: readonly Organisation[]
  readonly limits: CallerLimits
}

/** The operators' configuration, indexed for look-ups by host name and API key. */
export class Deployment {
  readonly revision: number
  readonly limits: CallerLimits
  readonly organisations: readonly Organisation[]
  readonly services: ReadonlyMap<string, BackendService>
  private readonly routesByHost = new Map<string, Route[]>()
  private readonly organisationsByKey = new Map<string, Organisation>()

  /** @param parts - the configuration to index */
  constructor (parts: DeploymentParts) {
    this.revision = parts.revision
    this.limits = parts.limits
    this.organisations = parts.organisations
    this.services = new Map(parts.services.map(service => [service.name, service]))
    for (const route of parts.routes) {
      const host = route.host.toLowerCase()
      const routes = this.routesByHost.get(host)
      if (routes === undefined) this.routesByHost.set(host, [route])
      else routes.push(route)
    }
    for (const routes of this.routesByHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length)
    for (const organisation of parts.organisations) {
      for (const key of organisation.apiKeys) this.organisationsByKey.set(key, organisation)
    }
  }

  /**
   * Finds the route of a request: among the routes of its host name, the one with the longest prefix of the path.
   *
   * @param host - value of the request's Host header, with or without a port
   * @param target - the request target, with or without a query
   * @returns the route, or undefined if none matches
   */
  findRoute (host: string, target: string): Route | undefined {
    const colon = host.indexOf(':')
    const hostName = (colon === -1 ? host : host.slice(0, colon)).toLowerCase()
    const queryStart = target.indexOf('?')
    const path = queryStart === -1 ? target : target.slice(0, queryStart)
    return this.routesByHost.get(hostName)?.find(route => path.startsWith(route.prefix))
  }

  /**
   * @param key - the API key that a caller sent
   * @returns the organisation that the key belongs to, or undefined if the key is unknown
   */
  findOrganisation (key: string): Organisation | undefined {
    return this.organisationsByKey.get(key)
  }

  /** Whether requests to routes that are not public need an API key. */
  get requiresKeys (): boolean {
    return this.organisations.length > 0
  }
}
