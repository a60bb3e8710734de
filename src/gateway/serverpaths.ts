import type Logger from 'bunyan'
import type { Clock, Random } from '../base/index.js'
import type { Fleet } from '../fleet/index.js'
import {
  type BufferBudget, ConnectionPool, DirectTransport, type HeaderNames, type Paths, probeConnection, Reachability
} from '../forward/index.js'
import { RelayPaths, RelayPool, RelayService } from '../relay/index.js'
import type { GatewaySettings } from './settings.js'

/** Dependencies of {@link ServerPaths}. */
export interface ServerPathsContext {
  readonly headerNames: HeaderNames
  readonly fleet: Fleet
  readonly bufferBudget: BufferBudget
  /** Selects servers and hosts. */
  readonly random: Random
  /** Clock of monotonic time. */
  readonly clock: Clock
  /** Logs when the paths to the servers are lost and when there is one again. */
  readonly log: Logger
  /** @returns whether requests of other hosts are accepted */
  isAccepting (): boolean
}

/** The paths of this host to the backend servers: its connections, and other hosts while it cannot reach any server. */
export class ServerPaths {
  readonly connectionPool: ConnectionPool
  readonly reachability: Reachability
  readonly relays: RelayPool
  readonly paths: Paths
  /** Sends requests to servers for hosts that cannot reach them. */
  readonly relayService: RelayService

  /**
   * @param settings - settings of the process
   * @param context - what the paths depend on
   */
  constructor ({ host, links }: GatewaySettings, private readonly context: ServerPathsContext) {
    const { fleet, random, clock, log } = context
    this.reachability = new Reachability({
      clock,
      random,
      listAddresses: () => fleet.listUsable(clock.now()).map(({ address }) => address),
      probe: probeConnection,
      onChange: canReachServers => this.reachabilityChanged(canReachServers)
    })
    this.connectionPool = new ConnectionPool(log, () => this.reachability.recordConnected())
    const direct = new DirectTransport(this.connectionPool, this.reachability, context.headerNames.attemptId)
    this.relays = new RelayPool(host, links.ip, random, clock)
    this.paths = new RelayPaths(direct, this.reachability, this.relays)
    this.relayService = new RelayService({ ...context, transport: direct, reachability: this.reachability })
  }

  /** @returns the state, for a dump */
  dump (): Readonly<Record<string, unknown>> {
    return {
      canReachServers: this.reachability.canReachServers,
      relays: this.relays.usableHosts,
      relayedRequests: this.relayService.activeRequestCount
    }
  }

  /** Closes all connections. */
  close (): void {
    this.connectionPool.close()
    this.relays.close()
  }

  private reachabilityChanged (canReachServers: boolean): void {
    const event = canReachServers ? 'servers-reachable' : 'servers-unreachable'
    this.context.log.warn({ event }, event)
    // Idle connections may have been lost with the path.
    if (!canReachServers) this.connectionPool.closeIdle()
    this.relays.setActive(!canReachServers)
  }
}
