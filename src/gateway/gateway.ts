import type Logger from 'bunyan'
import { type Clock, Lifecycle, SystemRandom, toError } from '../base/index.js'
import { SchedulerSelector, Dispatcher, DispatchListener, Hub } from '../dispatch/index.js'
import { ConnectionPool, Ingress } from '../forward/index.js'
import type { Deployment } from '../routing/index.js'
import { Scheduler } from '../schedule/index.js'
import { Absence } from './absence.js'
import { Directory } from './directory.js'
import { idleBounds } from './idlebounds.js'
import { Mover } from './mover.js'
import type { Platform } from './platform.js'
import { Readiness } from './readiness.js'
import type { GatewaySettings } from './settings.js'

/** Time between two looks at what waits, in milliseconds: well under the half second in which bounds are judged. */
const TICK_MS = 25

/** Time between two looks at which servers can be used, in milliseconds. */
const REFRESH_MS = 500

/** Time between two tellings of what the scheduler learned, in milliseconds: paces change within seconds. */
const PUBLISH_MS = 1_000

/** How long a stopping host still takes connections, in milliseconds: the balancer needs two misses, a second apart. */
const LEAVING_MS = 2_500

/** Time that is left to the end by force when all connections are ended, in milliseconds. */
const FORCE_MARGIN_MS = 700

/** Time between two looks whether all requests are answered, in milliseconds. */
const DRAIN_POLL_MS = 50

/** A host process in front of the backend servers. */
export class Gateway {
  private readonly lifecycle = new Lifecycle()
  private readonly channels = new ConnectionPool()
  private readonly hub: Hub
  private readonly dispatcher: Dispatcher
  private readonly choice: SchedulerSelector
  private readonly ingress: Ingress
  private readonly directory: Directory
  private readonly mover: Mover
  private isStopping = false
  private isTaking = true
  private refreshedAt = 0
  private publishedAt = 0
  private isRefreshDue = false
  private readonly absence = new Absence()

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
    const { host, links, dataCentre, cores } = settings
    this.directory = new Directory(platform, { host, address: `${links.ip}:${links.port}`, cores }, {
      deploymentChanged: deployment => this.deploymentChanged(deployment),
      serversChanged: () => this.serversChanged(),
      membersChanged: () => this.membersChanged(),
      operatorOrdered: row => this.mover.takeOrder(row, this.clock.now()),
      reportChanged: row => this.mover.takeReport(row),
      storeClockRead: storeMs => this.mover.setStoreClock(storeMs, this.clock.now())
    }, clock, log)
    const { gossip, fleet } = this.directory
    const scheduler = new Scheduler(settings.bounds, settings.isFirstStart)
    this.mover = new Mover(platform, scheduler.migrations, log)
    this.hub = new Hub(scheduler, gossip, clock, () => this.hostsChanged())
    this.dispatcher = new Dispatcher(clock, settings.bounds.retries)
    this.choice = new SchedulerSelector(
      host, links.ip, this.hub, this.dispatcher, gossip, clock, (scheduler, reason) => {
        log.info({ event: 'scheduler-chosen', scheduler, reason }, 'scheduler-chosen')
      }
    )
    this.ingress = new Ingress({
      headerNames: platform.headers,
      dataCentre,
      fleet,
      connectionPool: this.channels,
      dispatcher: this.dispatcher,
      clock,
      random: new SystemRandom(),
      log,
      deployment: () => this.directory.deployment,
      isClosing: () => this.isStopping,
      isAccepting: () => this.isTaking
    })
  }

  /** Whether new connections of callers are wanted. */
  get isReady (): boolean {
    return !this.isStopping && this.directory.isReady
  }

  /** @returns what this process believes, for people who ask */
  dump (): Readonly<Record<string, unknown>> {
    const { directory, choice, hub } = this
    return {
      isReady: this.isReady,
      isStopping: this.isStopping,
      deployment: directory.deployment?.revision,
      servers: directory.fleet.listUsable(this.clock.now()),
      members: directory.membership.list(),
      scheduler: choice.schedulerHost,
      linkedHosts: hub.connectedHosts,
      requests: this.ingress.activeRequestCount,
      jobs: this.dispatcher.jobCount,
      schedule: hub.scheduler.dump()
    }
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
    this.directory.start()
    lifecycle.own('directory', () => this.directory.close())
    lifecycle.every('ticks', TICK_MS, () => {
      try {
        this.tick()
      } catch (thrown) {
        // One failed look at what waits must not end the process; the next one comes at once.
        this.log.error({ event: 'tick-failed', err: toError(thrown) }, 'tick-failed')
      }
    })
    this.log.info({ event: 'started', callers: settings.callers, dataCentre: settings.dataCentre }, 'started')
  }

  /** Stops as planned: no new connections, all requests answered, then the end. */
  async stop (): Promise<void> {
    if (this.isStopping) return
    this.isStopping = true
    const startedAt = this.clock.now()
    this.log.info({ event: 'stopping', requests: this.ingress.activeRequestCount }, 'stopping')
    void this.directory.membership.leave()
    this.membersChanged()
    const endAt = startedAt + this.settings.graceMs - FORCE_MARGIN_MS
    while (this.clock.now() < endAt) {
      await this.clock.sleep(DRAIN_POLL_MS)
      if (this.clock.now() - startedAt < LEAVING_MS) continue
      if (this.isTaking) this.ingress.stopAccepting()
      this.isTaking = false
      if (this.ingress.activeRequestCount === 0) break
    }
    this.log.info({ event: 'stopped', requests: this.ingress.activeRequestCount }, 'stopped')
    await this.close()
  }

  /** Ends at once. */
  async close (): Promise<void> {
    for (const error of await this.lifecycle.close()) this.log.error({ event: 'close-failed', reason: error.message })
  }

  /** Whether the scheduler of this process is the one that it asks itself. */
  private get isInCharge (): boolean {
    return this.choice.schedulerHost === this.settings.host
  }

  private tick (): void {
    const now = this.clock.now()
    if (now - this.refreshedAt >= REFRESH_MS) this.refresh(now)
    if (now - this.publishedAt >= PUBLISH_MS) {
      this.publishedAt = now
      if (this.isInCharge) this.hub.publishSpeedEstimates()
    }
    if (this.mover.hasOrders) this.mover.tick(this.isInCharge, now)
    this.directory.gossip.tick()
    this.choice.tick()
    this.hub.tick()
    this.ingress.tick(now)
  }

  /** Removed servers can pass out of use by time alone, and hosts that are linked come and go. */
  private refresh (now: number): void {
    this.refreshedAt = now
    const { fleet, membership, deployment } = this.directory
    const servers = fleet.listUsable(now)
    this.hub.scheduler.setServers(servers)
    this.channels.setIdleLimits(idleBounds(servers, deployment, membership.list().length))
    this.hostsChanged()
    if (this.isInCharge) this.absence.look(this.directory.membership, this.linkedHosts, now)
    else this.absence.forget()
  }

  /** The hosts whose work this scheduler sees. */
  private get linkedHosts (): Set<string> {
    return new Set([...this.hub.connectedHosts, this.settings.host])
  }

  /** A scheduler that was just chosen has its full shares as soon as the hosts are linked. */
  private hostsChanged (): void {
    const members = Math.max(1, this.directory.membership.list().length)
    this.dispatcher.hostCount = members
    this.hub.scheduler.setShare(Math.min(1, this.linkedHosts.size / members), this.clock.now())
  }

  private deploymentChanged (deployment: Deployment): void {
    this.ingress.setLimits(deployment.limits)
    this.hub.scheduler.setOrganisations(deployment.organisations, this.clock.now())
    this.announce()
  }

  /** Rows come many at a time; what follows from them is done once for all. */
  private serversChanged (): void {
    if (this.isRefreshDue) return
    this.isRefreshDue = true
    queueMicrotask(() => {
      this.isRefreshDue = false
      this.refresh(this.clock.now())
      this.hub.tick()
      this.announce()
    })
  }

  private membersChanged (): void {
    this.choice.setMembers(this.directory.membership.list())
    this.serversChanged()
  }

  /** Tells linked hosts at once what this one knows, so that those that lag find out. */
  private announce (): void {
    this.choice.sendVersionVector()
    this.hub.broadcastVersionVector()
  }
}
