import { type Configuration, ServerKind } from '../config/index.js'
import { WorkerPool } from '../service/index.js'

/** One pool of workers for each plain service. */
export class WorkerPools {
  private readonly pools = new Map<string, WorkerPool>()

  /** @param configuration - the new configuration; draining workers leave their pool */
  update (configuration: Configuration): void {
    for (const name of configuration.services.keys()) {
      const workers = [...configuration.servers.values()].filter(server =>
        server.kind === ServerKind.service && server.service === name && !server.draining)
      this.poolFor(name).setWorkers(workers)
    }
  }

  /**
   * @param service - a service's name
   * @returns the pool of its workers, created if there is none yet
   */
  poolFor (service: string): WorkerPool {
    let pool = this.pools.get(service)
    if (pool === undefined) {
      pool = new WorkerPool()
      this.pools.set(service, pool)
    }
    return pool
  }
}
