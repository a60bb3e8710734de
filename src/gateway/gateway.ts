import type Logger from 'bunyan'
import { type Clock, Lifecycle, SystemRandom } from '../base/index.js'
import { Choice, Dispatcher, DispatchListener, Hub } from '../dispatch/index.js'
import { Fleet } from '../fleet/index.js'
import { Channels, Ingress } from '../forward/index.js'
import type { Deployment } from '../routing/index.js'
import { Scheduler } from '../schedule/index.js'
import { Follower, type Row, type RowTaker } from '../store/index.js'
import { Membership } from './membership.js'
import type { Platform } from './platform.js'
import { Readiness } from './readiness.js'
import type { GatewaySettings } from './settings.js'

/** Time between two looks at what waits, in milliseconds: well under the half second in which bounds are judged. */
const TICK_MS = 25

/** Time between two looks at which servers can be used, in milliseconds. */
const REFRESH_MS = 500

/** How long a stopping host still takes connections, in milliseconds: the balancer needs two misses, a second apart. */
const LEAVING_MS = 2_500

/** Time that is left to the end by force when all connections are ended, in milliseconds. */
const FORCE_MARGIN_MS = 700

/** Time between two looks whether all requests are answered, in milliseconds. */
const DRAIN_POLL_MS = 50

/** A host process in front of the backend servers. */
export class Gateway {
  private readonly lifecycle = new Lifecycle()
  private readonly fleet = new Fleet()
  private readonly channels = new Channels()
  private readonly hub: Hub
  private readonly dispatcher: Dispatcher
  private readonly choice: Choice
  private readonly ingress: Ingress
  private readonly membership: Membership
  private deployment: Deployment | undefined
  private hasServers = false
  private isStopping = false
  private isTaking = true
  private refreshedAt = 0

  /**
   * @param settings - what the process is told
   * @param platform - the store, and what its rows mean
   * @param clock - steady time
   * @param log - the process's log
   */
  constructor (
    private readonly settings: GatewaySettings,
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly log: Logger
  ) {
    const { host, links, dataCentre } = settings
    this.hub = new Hub(new Scheduler(settings.repeats, settings.tolerance), clock)
    this.dispatcher = new Dispatcher(clock)
    this.choice = new Choice(host, links.ip, this.hub, this.dispatcher, clock, (scheduler, reason) => {
      log.info({ event: 'scheduler-chosen', scheduler, reason }, 'scheduler-chosen')
    })
    const address = `${links.ip}:${links.port}`
    this.membership = new Membership(platform.store, platform.tables.members, { host, address }, clock, log)
    this.ingress = new Ingress({
      names: platform.headers,
      dataCentre,
      fleet: this.fleet,
      channels: this.channels,
      dispatcher: this.dispatcher,
      clock,
      random: new SystemRandom(),
      log,
      deployment: () => this.deployment,
      isClosing: () => this.isStopping,
      isTaking: () => this.isTaking
    })
  }

  /** Whether new connections of callers are wanted. */
  get isReady (): boolean {
    return !this.isStopping && this.deployment !== undefined && this.hasServers
  }

  /** Starts to listen and to follow the store. */
  async start (): Promise<void> {
    const { settings, platform, lifecycle } = this
    const readiness = new Readiness(platform.readinessPath, () => this.isReady)
    lifecycle.own('channels', () => this.channels.close())
    const listener = new DispatchListener(this.hub)
    await listener.listen(settings.links.ip, settings.links.port)
    lifecycle.own('links to this host', () => listener.close())
    lifecycle.own('links from this host', () => this.choice.close())
    await this.ingress.listen(settings.callers.ip, settings.callers.port)
    lifecycle.own('callers', () => this.ingress.close())
    await readiness.listen(settings.readiness)
    lifecycle.own('readiness', () => readiness.close())
    this.follow(platform.tables.operator, {
      all: rows => rows.forEach(row => this.operatorRow(row)),
      changed: row => this.operatorRow(row),
      returned: () => undefined
    })
    this.follow(platform.tables.servers, {
      all: (rows, revision) => this.allServers(rows, revision),
      changed: row => this.serverRow(row),
      returned: () => this.fleet.storeReturned(this.clock.now())
    })
    this.follow(platform.tables.members, {
      all: (rows, revision) => this.membersChanged(() => this.membership.replace(rows, revision)),
      changed: row => this.membersChanged(() => this.membership.apply(row)),
      returned: () => undefined
    })
    lifecycle.every('ticks', TICK_MS, () => this.tick())
    void this.membership.join()
    this.log.info({ event: 'started', callers: settings.callers, dataCentre: settings.dataCentre }, 'started')
  }

  /** Stops as planned: no new connections, all requests answered, then the end. */
  async stop (): Promise<void> {
    if (this.isStopping) return
    this.isStopping = true
    const startedAt = this.clock.now()
    this.log.info({ event: 'stopping', requests: this.ingress.size }, 'stopping')
    void this.membership.leave()
    this.choice.setMembers(this.membership.list())
    const endAt = startedAt + this.settings.graceMs - FORCE_MARGIN_MS
    while (this.clock.now() < endAt) {
      await this.clock.sleep(DRAIN_POLL_MS)
      if (this.clock.now() - startedAt < LEAVING_MS) continue
      if (this.isTaking) this.ingress.stopIdle()
      this.isTaking = false
      if (this.ingress.size === 0) break
    }
    this.log.info({ event: 'stopped', requests: this.ingress.size }, 'stopped')
    await this.close()
  }

  /** Ends at once. */
  async close (): Promise<void> {
    for (const error of await this.lifecycle.close()) this.log.error({ event: 'close-failed', reason: error.message })
  }

  private follow (table: string, taker: RowTaker): void {
    const follower = new Follower(this.platform.store, table, taker, this.clock, this.log)
    this.lifecycle.own(`follower of ${table}`, () => follower.close())
  }

  private tick (): void {
    const now = this.clock.now()
    if (now - this.refreshedAt >= REFRESH_MS) this.refresh(now)
    this.choice.tick()
    this.hub.tick()
    this.ingress.tick(now)
  }

  /** Removed servers can pass out of use by time alone, and hosts that are linked come and go. */
  private refresh (now: number): void {
    this.refreshedAt = now
    const servers = this.fleet.all(now)
    this.hub.scheduler.setServers(servers)
    const members = Math.max(1, this.membership.list().length)
    const linked = new Set([...this.hub.hosts, this.settings.host]).size
    this.hub.scheduler.setPart(Math.min(1, linked / members), now)
  }

  private operatorRow (row: Row): void {
    const deployment = this.platform.readDeployment(row)
    if (deployment === undefined || deployment.revision <= (this.deployment?.revision ?? -1)) return
    this.deployment = deployment
    this.ingress.setLimits(deployment.limits)
    this.hub.scheduler.setOrganisations(deployment.organisations, this.clock.now())
    this.log.info({ event: 'deployment', revision: deployment.revision }, 'deployment')
  }

  private allServers (rows: readonly Row[], revision: number): void {
    this.hasServers = true
    const now = this.clock.now()
    const changes = rows.map(row => ({ id: row.key, revision: row.revision, server: this.platform.readServer(row) }))
    this.fleet.replace(changes, revision, now)
    this.serversChanged(now)
  }

  private serverRow (row: Row): void {
    const now = this.clock.now()
    const server = this.platform.readServer(row)
    if (!this.fleet.apply({ id: row.key, revision: row.revision, server }, now)) return
    this.log.info({ event: 'server', server: row.key, isDraining: server?.isDraining, isGone: server === undefined }, 'server')
    this.serversChanged(now)
  }

  private serversChanged (now: number): void {
    const servers = this.fleet.all(now)
    const addresses = new Set(servers.map(server => server.address))
    this.channels.retain(address => addresses.has(address))
    this.refresh(now)
    this.hub.tick()
  }

  private membersChanged (change: () => void): void {
    change()
    this.choice.setMembers(this.membership.list())
    this.refresh(this.clock.now())
  }
}
