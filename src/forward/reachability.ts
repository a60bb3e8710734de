import type { Clock, Random } from '../base/index.js'

/** Number of servers that a check connects to. */
const PROBED_SERVERS = 3

/** How long the result of a check or an established connection is relied on, in milliseconds. */
const RESULT_TTL_MS = 100

/** Time without data of any server, though requests are unanswered, after which a check is made, in milliseconds. */
const QUIET_MS = 400

/** Interval of checks while no server can be reached, in milliseconds. */
const RECHECK_INTERVAL_MS = 500

/** What {@link Reachability} depends on. */
export interface ReachabilityContext {
  /** Clock of monotonic time. */
  readonly clock: Clock
  readonly random: Random
  /** @returns the addresses of all servers that may get requests */
  listAddresses (): readonly string[]
  /**
   * @param address - a server's IP address and port
   * @returns whether a connection could be established
   */
  probe (address: string): Promise<boolean>
  /**
   * Called when this host loses its paths to the servers or has one again.
   *
   * @param canReachServers - whether it has one
   */
  onChange (canReachServers: boolean): void
}

/** Tells whether this host can reach servers at all, to tell a failed network path from a failed server. */
export class Reachability {
  private isReachable = true
  private check: Promise<boolean> | undefined
  private checkedAt = -Infinity
  /** When a connection to a server was last established. */
  private connectedAt = -Infinity
  /** When a server last sent data. */
  private receivedAt = -Infinity

  /** @param context - what it depends on */
  constructor (private readonly context: ReachabilityContext) {}

  /** Whether this host can reach a server, as far as it knows. */
  get canReachServers (): boolean {
    return this.isReachable
  }

  /** Records that a connection to a server was established. */
  recordConnected (): void {
    this.connectedAt = this.context.clock.now()
    this.set(true)
  }

  /** Records that a server sent data. */
  recordReceived (): void {
    this.receivedAt = this.context.clock.now()
  }

  /**
   * Checks whether this host can reach servers, after a request to one of them failed.
   *
   * @param failedAddress - address of the server that failed; others are tried first
   * @returns whether it can reach any
   */
  verify (failedAddress: string): Promise<boolean> {
    const now = this.context.clock.now()
    if (now - this.connectedAt <= RESULT_TTL_MS) return Promise.resolve(true)
    if (now - this.checkedAt <= RESULT_TTL_MS) return Promise.resolve(this.isReachable)
    return this.startCheck(failedAddress)
  }

  /**
   * Checks whether this host can reach servers if none has sent data for a while. To be called while a request is
   * unanswered.
   *
   * @param address - address of the server that is to respond
   * @param silenceMs - time for which that server has sent nothing, in milliseconds
   */
  checkIfQuiet (address: string, silenceMs: number): void {
    const lastSignAt = Math.max(this.receivedAt, this.connectedAt, this.checkedAt)
    if (silenceMs < QUIET_MS || this.context.clock.now() - lastSignAt < QUIET_MS) return
    void this.startCheck(address)
  }

  /** Repeats the check at intervals while no server can be reached. */
  tick (): void {
    if (this.isReachable || this.context.clock.now() - this.checkedAt < RECHECK_INTERVAL_MS) return
    void this.startCheck(undefined)
  }

  private startCheck (failedAddress: string | undefined): Promise<boolean> {
    this.check ??= this.probeServers(failedAddress).finally(() => { this.check = undefined })
    return this.check
  }

  private async probeServers (failedAddress: string | undefined): Promise<boolean> {
    const addresses = this.chooseAddresses(failedAddress)
    const startedAt = this.context.clock.now()
    const isAnyEstablished = await new Promise<boolean>(resolve => {
      const probes = addresses.map(async address => {
        if (await this.context.probe(address)) resolve(true)
      })
      void Promise.all(probes).then(() => resolve(addresses.length === 0))
    })
    const now = this.context.clock.now()
    this.checkedAt = now
    // A connection that was established meanwhile counts more than probes that failed.
    this.set(isAnyEstablished || this.connectedAt >= startedAt)
    return this.isReachable
  }

  private chooseAddresses (failedAddress: string | undefined): string[] {
    const all = [...new Set(this.context.listAddresses())]
    const others = all.filter(address => address !== failedAddress)
    const candidates = others.length > 0 ? others : all
    const chosen: string[] = []
    while (chosen.length < PROBED_SERVERS && candidates.length > 0) {
      chosen.push(...candidates.splice(Math.floor(this.context.random.next() * candidates.length), 1))
    }
    return chosen
  }

  private set (isReachable: boolean): void {
    if (isReachable === this.isReachable) return
    this.isReachable = isReachable
    this.context.onChange(isReachable)
  }
}
