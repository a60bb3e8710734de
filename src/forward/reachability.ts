import type { Clock, Random } from '../base/index.js'
import { PauseDetector } from './pausedetector.js'

/** Number of servers that a check connects to, and of further ones if it reaches none of these. */
const FIRST_PROBES = 3
const FURTHER_PROBES = 16

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
  private readonly pauses: PauseDetector

  /** @param context - what it depends on */
  constructor (private readonly context: ReachabilityContext) {
    this.pauses = new PauseDetector(context.clock)
  }

  /** Whether this process stood still a moment ago, so that a server may have ended and started again unnoticed. */
  get wasPaused (): boolean {
    return this.pauses.wasPaused
  }

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

  /** Repeats the check at intervals while no server can be reached. To be called at short intervals. */
  tick (): void {
    this.pauses.tick()
    if (this.isReachable || this.context.clock.now() - this.checkedAt < RECHECK_INTERVAL_MS) return
    void this.startCheck(undefined)
  }

  private startCheck (failedAddress: string | undefined): Promise<boolean> {
    this.check ??= this.probeServers(failedAddress).finally(() => { this.check = undefined })
    return this.check
  }

  private async probeServers (failedAddress: string | undefined): Promise<boolean> {
    const startedAt = this.context.clock.now()
    const addresses = this.orderAddresses(failedAddress)
    const isAnyEstablished = addresses.length === 0 || await this.probeAny(addresses.slice(0, FIRST_PROBES)) ||
      await this.probeAny(addresses.slice(FIRST_PROBES, FIRST_PROBES + FURTHER_PROBES))
    const now = this.context.clock.now()
    this.checkedAt = now
    // A connection that was established meanwhile counts more than probes that failed.
    this.set(isAnyEstablished || this.connectedAt >= startedAt)
    return this.isReachable
  }

  /** @returns whether any of the servers accepts a connection, as soon as one does */
  private probeAny (addresses: readonly string[]): Promise<boolean> {
    return new Promise(resolve => {
      const probes = addresses.map(async address => {
        if (await this.context.probe(address)) resolve(true)
      })
      void Promise.all(probes).then(() => resolve(false))
    })
  }

  /** @returns the servers in random order, the one that failed last */
  private orderAddresses (failedAddress: string | undefined): string[] {
    const candidates = [...new Set(this.context.listAddresses())].filter(address => address !== failedAddress)
    const ordered: string[] = []
    while (candidates.length > 0) {
      ordered.push(...candidates.splice(Math.floor(this.context.random.next() * candidates.length), 1))
    }
    return failedAddress === undefined ? ordered : [...ordered, failedAddress]
  }

  private set (isReachable: boolean): void {
    if (isReachable === this.isReachable) return
    this.isReachable = isReachable
    this.context.onChange(isReachable)
  }
}
