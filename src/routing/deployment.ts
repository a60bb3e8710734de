import type { CallerLimits } from './limits.js'
import type { Organisation } from './organisation.js'
import type { Route } from './route.js'
import type { BackendService } from './service.js'

/** What operators state, as one immutable value. */
export interface DeploymentParts {
  /** Which of two deployments is newer: the higher one. */
  readonly revision: number
  readonly routes: readonly Route[]
  readonly services: readonly BackendService[]
  readonly organisations: readonly Organisation[]
  readonly limits: CallerLimits
}

/** A deployment, indexed for the path of a request. */
export class Deployment {
  readonly revision: number
  readonly limits: CallerLimits
  readonly organisations: readonly Organisation[]
  readonly services: ReadonlyMap<string, BackendService>
  private readonly byHost = new Map<string, Route[]>()
  private readonly byKey = new Map<string, Organisation>()

  /** @param parts - what the operators state */
  constructor (parts: DeploymentParts) {
    this.revision = parts.revision
    this.limits = parts.limits
    this.organisations = parts.organisations
    this.services = new Map(parts.services.map(service => [service.name, service]))
    for (const route of parts.routes) {
      const host = route.host.toLowerCase()
      const routes = this.byHost.get(host)
      if (routes === undefined) this.byHost.set(host, [route])
      else routes.push(route)
    }
    for (const routes of this.byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length)
    for (const organisation of parts.organisations) {
      for (const key of organisation.keys) this.byKey.set(key, organisation)
    }
  }

  /**
   * Finds the route of a request: the longest prefix of its host that begins the path.
   *
   * @param host - the host that the request names, perhaps with a port
   * @param target - the path, with or without a query
   * @returns the route, or undefined
   */
  match (host: string, target: string): Route | undefined {
    const colon = host.indexOf(':')
    const name = (colon === -1 ? host : host.slice(0, colon)).toLowerCase()
    const question = target.indexOf('?')
    const path = question === -1 ? target : target.slice(0, question)
    return this.byHost.get(name)?.find(route => path.startsWith(route.prefix))
  }

  /**
   * @param key - what a caller shows
   * @returns the organisation that holds the key, or undefined
   */
  organisationOf (key: string): Organisation | undefined {
    return this.byKey.get(key)
  }

  /** Whether callers of routes that are not public must show a key. */
  get needsKeys (): boolean {
    return this.organisations.length > 0
  }
}
