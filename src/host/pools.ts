import { type Configuration, Kind } from '../config/index.js'
import { Pool } from '../service/index.js'

/** The workers of each plain service. */
export class Pools {
  private readonly pools = new Map<string, Pool>()

  /** @param configuration - the configuration in force */
  follow (configuration: Configuration): void {
    for (const name of configuration.services.keys()) {
      const workers = [...configuration.servers.values()].filter(server =>
        server.kind === Kind.service && server.service === name && !server.draining)
      this.of(name).follow(workers)
    }
  }

  /**
   * @param service - a service's name
   * @returns its workers
   */
  of (service: string): Pool {
    let pool = this.pools.get(service)
    if (pool === undefined) {
      pool = new Pool()
      this.pools.set(service, pool)
    }
    return pool
  }
}
