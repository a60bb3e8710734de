import type { Paths, Reachability, Transport } from '../forward/index.js'
import type { RelayPool } from './pool.js'

/** Sends requests over connections of this host, or by way of other hosts while it cannot reach the servers. */
export class RelayPaths implements Paths {
  /**
   * @param direct - sends requests over connections of this host
   * @param reachability - tells whether this host can reach servers
   * @param relays - the other hosts
   */
  constructor (
    private readonly direct: Transport,
    private readonly reachability: Pick<Reachability, 'canReachServers' | 'tick'>,
    private readonly relays: RelayPool
  ) {}

  choose (): Transport {
    return this.reachability.canReachServers ? this.direct : this.relays.choose() ?? this.direct
  }

  async chooseOther (failed: readonly Transport[]): Promise<Transport | undefined> {
    const relay = await this.relays.chooseAfterReplies(failed)
    if (relay !== undefined) return relay
    return this.reachability.canReachServers && !failed.includes(this.direct) ? this.direct : undefined
  }

  tick (): void {
    this.reachability.tick()
    this.relays.tick()
  }
}
