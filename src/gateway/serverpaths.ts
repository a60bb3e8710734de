import type Logger from 'bunyan'
import type { Clock, Random } from '../base/index.js'
import type { Fleet } from '../fleet/index.js'
import { ConnectionPool, probeConnection, Reachability } from '../forward/index.js'

/** The paths of this host to the backend servers: its connections, and whether it can reach any server. */
export class ServerPaths {
  readonly connectionPool: ConnectionPool
  readonly reachability: Reachability

  /**
   * @param fleet - the servers
   * @param random - selects the servers that are probed
   * @param clock - monotonic time
   * @param log - logs when the paths to the servers are lost and when there is one again
   */
  constructor (fleet: Fleet, random: Random, clock: Clock, private readonly log: Logger) {
    this.reachability = new Reachability({
      clock,
      random,
      listAddresses: () => fleet.listUsable(clock.now()).map(({ address }) => address),
      probe: probeConnection,
      onChange: canReachServers => this.reachabilityChanged(canReachServers)
    })
    this.connectionPool = new ConnectionPool(log, () => this.reachability.recordConnected())
  }

  private reachabilityChanged (canReachServers: boolean): void {
    const event = canReachServers ? 'servers-reachable' : 'servers-unreachable'
    this.log.warn({ event }, event)
  }
}
