import type { Clock, Random } from '../base/index.js'
import type { Member } from '../dispatch/index.js'
import { RelayHost } from './relayhost.js'

/** Interval at which hosts are asked whether they accept requests, in milliseconds. */
const ASK_INTERVAL_MS = 300

/** Number of hosts that are asked. */
const MAX_HOSTS = 8

/** The other hosts that may send requests while this host cannot reach the servers. */
export class RelayPool {
  private members: readonly Member[] = []
  private hosts: RelayHost[] = []
  private isActive = false
  private askedAt = -Infinity
  private asking: Promise<unknown> = Promise.resolve()

  /**
   * @param host - the name of this host
   * @param ip - the local IP address of connections to other hosts
   * @param random - selects hosts
   * @param clock - monotonic time
   */
  constructor (
    private readonly host: string,
    private readonly ip: string,
    private readonly random: Random,
    private readonly clock: Clock
  ) {}

  /** @param members - all members, which may include this host */
  setMembers (members: readonly Member[]): void {
    this.members = members.filter(({ host }) => host !== this.host)
  }

  /**
   * Starts or stops to keep connections to other hosts.
   *
   * @param isActive - whether this host needs them
   */
  setActive (isActive: boolean): void {
    this.isActive = isActive
    this.askedAt = -Infinity
    this.tick()
  }

  /** Asks hosts at intervals, and closes connections that are no longer needed. */
  tick (): void {
    if (!this.isActive) {
      this.retain(host => host.activeCount > 0)
      return
    }
    const now = this.clock.now()
    if (now - this.askedAt < ASK_INTERVAL_MS) return
    this.askedAt = now
    const addresses = new Set(this.members.map(({ address }) => address))
    const hasOthers = this.members.length > MAX_HOSTS
    this.retain(({ activeCount, isUsable, member }) => {
      return activeCount > 0 || (addresses.has(member.address) && (isUsable || !hasOthers))
    })
    this.addHosts()
    this.asking = Promise.all(this.hosts.map(host => host.ask()))
  }

  /**
   * @param failed - hosts that are not to be chosen
   * @returns the usable host with the fewest requests of this host, or undefined if there is none
   */
  choose (failed: readonly unknown[] = []): RelayHost | undefined {
    let best: RelayHost | undefined
    for (const host of this.hosts) {
      if (!host.isUsable || failed.includes(host)) continue
      if (best === undefined || host.activeCount < best.activeCount) best = host
    }
    return best
  }

  /**
   * Waits until the hosts that were asked have replied, if none is usable yet.
   *
   * @param failed - hosts that are not to be chosen
   * @returns a usable host, or undefined if there is none
   */
  async chooseAfterReplies (failed: readonly unknown[]): Promise<RelayHost | undefined> {
    const host = this.choose(failed)
    if (host !== undefined) return host
    await this.asking
    return this.choose(failed)
  }

  /** Names of the usable hosts. */
  get usableHosts (): string[] {
    return this.hosts.filter(({ isUsable }) => isUsable).map(({ member }) => member.host)
  }

  /** Closes all connections. */
  close (): void {
    this.isActive = false
    this.retain(() => false)
  }

  private addHosts (): void {
    const known = new Set(this.hosts.map(({ member }) => member.address))
    const candidates = this.members.filter(({ address }) => !known.has(address))
    while (this.hosts.length < MAX_HOSTS && candidates.length > 0) {
      const [member] = candidates.splice(Math.floor(this.random.next() * candidates.length), 1)
      this.hosts.push(new RelayHost(member!, this.ip, this.clock))
    }
  }

  private retain (isKept: (host: RelayHost) => boolean): void {
    for (const host of this.hosts) if (!isKept(host)) host.close()
    this.hosts = this.hosts.filter(isKept)
  }
}
