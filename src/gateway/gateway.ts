import type Logger from 'bunyan'
import { type Clock, Lifecycle, runSafely, SystemRandom } from '../base/index.js'
import { Dispatcher, DispatchListener, Hub, SchedulerSelector } from '../dispatch/index.js'
import { BufferBudget, Ingress } from '../forward/index.js'
import type { Deployment } from '../routing/index.js'
import { Scheduler } from '../schedule/index.js'
import { BufferLog } from './bufferlog.js'
import { MemberEvictor } from './memberevictor.js'
import { CrashLog } from './crashlog.js'
import { Directory } from './directory.js'
import { Drain } from './drain.js'
import { computeHostShares, linkedHosts } from './hostshares.js'
import { computeIdleLimits } from './idlelimits.js'
import { computeBufferBytes, computeMaxConnections } from './memorylimits.js'
import { MigrationController } from './migrationcontroller.js'
import type { Platform } from './platform.js'
import { ReadinessServer } from './readiness.js'
import { RetrySlack } from './retryslack.js'
import { ServerPaths } from './serverpaths.js'
import type { GatewaySettings } from './settings.js'
import { StoreFollowing } from './storefollowing.js'

/** Interval of ticks, in milliseconds; well below the half second over which the scheduling limits are checked. */
const TICK_MS = 25

/** Interval between updates of the usable servers, in milliseconds. */
const REFRESH_MS = 500

/** Interval at which the scheduler publishes its state, in milliseconds; it changes within seconds. */
const PUBLISH_MS = 1_000

/** A host process: forwards requests of callers to backend servers, and schedules requests if selected to. */
export class Gateway {
  private readonly lifecycle = new Lifecycle()
  private readonly serverPaths: ServerPaths
  private readonly hub: Hub
  private readonly dispatcher: Dispatcher
  private readonly schedulerSelector: SchedulerSelector
  private readonly ingress: Ingress
  private readonly directory: Directory
  private readonly migrationController: MigrationController
  private readonly drain = new Drain()
  private refreshedAt = 0
  private publishedAt = 0
  private isRefreshScheduled = false
  private readonly memberEvictor = new MemberEvictor()
  private readonly retrySlack: RetrySlack
  private readonly storeFollowing: StoreFollowing

  /**
   * @param settings - settings of the process
   * @param platform - the store, and the formats of its rows and headers
   * @param clock - monotonic time
   * @param log - the process's log
   */
  constructor (
    private readonly settings: GatewaySettings,
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly log: Logger
  ) {
    const { host, links, dataCentre, cores } = settings
    this.directory = new Directory(platform, { host, address: `${links.ip}:${links.port}`, cores }, settings.dataCentres, {
      deploymentChanged: deployment => this.deploymentChanged(deployment),
      serversChanged: () => this.serversChanged(),
      membersChanged: () => this.membersChanged(),
      orderChanged: row => this.migrationController.applyOrder(row, this.clock.now()),
      reportChanged: row => this.migrationController.applyReport(row),
      storeClockRead: storeMs => this.migrationController.setStoreClock(storeMs, this.clock.now())
    }, clock, log)
    const { gossip, fleet } = this.directory
    const scheduler = new Scheduler(settings.limits, settings.isFirstStart, new CrashLog(log))
    const random = new SystemRandom()
    const bufferBudget = new BufferBudget(computeBufferBytes(settings.memoryBytes), new BufferLog(clock, log))
    const { headerNames } = platform
    const isAccepting = (): boolean => !this.drain.isStopping
    this.serverPaths = new ServerPaths(settings, { headerNames, fleet, bufferBudget, random, clock, log, isAccepting })
    this.migrationController = new MigrationController(platform, scheduler.migrations, log)
    this.hub = new Hub(scheduler, gossip, clock, () => this.updateHostShares(),
      (id, born) => this.directory.recordLeaving(id, born))
    this.dispatcher = new Dispatcher(clock, settings.limits.retries,
      (server, requestsPerS) => log.info({ event: 'server-limit', server, requestsPerS }, 'server-limit'))
    this.retrySlack = new RetrySlack(settings.limits.retries.windowMs, clock.now())
    this.schedulerSelector = new SchedulerSelector(host, links.ip, this.hub, this.dispatcher, gossip, clock,
      (scheduler, reason) => log.info({ event: 'scheduler-chosen', scheduler, reason }, 'scheduler-chosen'))
    this.storeFollowing = new StoreFollowing(this.directory, this.schedulerSelector, settings.isFirstStart, clock.now())
    this.ingress = new Ingress({
      headerNames,
      dataCentre,
      fleet,
      paths: this.serverPaths.paths,
      bufferBudget,
      maxConnections: computeMaxConnections(settings.memoryBytes, settings.maxDescriptors),
      dispatcher: this.dispatcher,
      clock,
      random,
      log,
      deployment: () => this.directory.deployment,
      isClosing: () => this.drain.isStopping,
      isAccepting: () => this.drain.isAccepting,
      maySend: () => this.drain.maySend
    })
  }

  /** Whether the load balancer may send new connections of callers to this host. */
  get isReady (): boolean {
    return !this.drain.isStopping && this.directory.isReady
  }

  /** @returns the state of this process, for diagnosis by operators */
  dump (): Readonly<Record<string, unknown>> {
    const { directory, schedulerSelector, hub, isReady, drain: { isStopping } } = this
    return {
      isReady,
      isStopping,
      ...directory.dump(this.clock.now()),
      scheduler: schedulerSelector.schedulerHost,
      linkedHosts: hub.connectedProtocols,
      ...this.ingress.dump(),
      paths: this.serverPaths.dump(),
      jobs: this.dispatcher.jobCount,
      schedule: hub.scheduler.dump(this.clock.now())
    }
  }

  /** Starts to listen, and to follow the store. The promise is rejected if an endpoint can't be listened on. */
  async start (): Promise<void> {
    const { settings, platform, lifecycle } = this
    const readiness = new ReadinessServer(platform.readinessPath, () => this.isReady)
    lifecycle.onClose('connections to servers', () => this.serverPaths.close())
    const listener = new DispatchListener(this.hub, router => this.serverPaths.relayService.register(router))
    await listener.listen(settings.links.ip, settings.links.port)
    lifecycle.onClose('links to this host', () => listener.close())
    lifecycle.onClose('links from this host', () => this.schedulerSelector.close())
    await this.ingress.listen(settings.callers.ip, settings.callers.port)
    lifecycle.onClose('callers', () => this.ingress.close())
    await readiness.listen(settings.readiness)
    lifecycle.onClose('readiness', () => readiness.close())
    this.directory.start()
    lifecycle.onClose('directory', () => this.directory.close())
    lifecycle.runEvery('ticks', TICK_MS, () => this.tick())
    this.log.info({ event: 'started', callers: settings.callers, dataCentre: settings.dataCentre }, 'started')
  }

  /** Stops gracefully: leaves the members, stops accepting connections, closes when all requests are answered. */
  async stop (): Promise<void> {
    if (this.drain.isStopping) return
    this.log.info({ event: 'stopping', requests: this.ingress.activeRequestCount }, 'stopping')
    const drained = this.drain.run({
      activeRequestCount: () => this.ingress.activeRequestCount + this.serverPaths.relayService.activeRequestCount,
      stopAccepting: () => this.ingress.stopAccepting(),
      giveUp: () => this.ingress.giveUp()
    }, this.settings.graceMs, this.clock)
    void this.directory.membership.leave()
    this.membersChanged()
    await drained
    this.log.info({ event: 'stopped', requests: this.ingress.activeRequestCount }, 'stopped')
    await this.close()
  }

  /** Closes everything at once, including connections with unanswered requests. */
  async close (): Promise<void> {
    for (const error of await this.lifecycle.close()) this.log.error({ event: 'close-failed', reason: error.message })
  }

  /** Whether this host has selected itself as the scheduler. */
  private get isScheduler (): boolean {
    return this.schedulerSelector.schedulerHost === this.settings.host
  }

  private tick (): void {
    const now = this.clock.now()
    this.runPart('servers', () => this.tickServers(now))
    this.runPart('following', () => this.storeFollowing.tick(now))
    this.runPart('migrations', () => this.migrationController.tick(this.isScheduler, now))
    this.runPart('gossip', () => this.directory.gossip.tick())
    this.runPart('selector', () => this.schedulerSelector.tick())
    this.runPart('hub', () => this.hub.tick())
    this.runPart('ingress', () => this.ingress.tick(now))
  }

  private runPart (part: string, run: () => void): void {
    runSafely(this.log, { event: 'tick-failed', part }, run)
  }

  private tickServers (now: number): void {
    if (now - this.refreshedAt >= REFRESH_MS) this.refresh(now)
    else if (this.isScheduler) this.updateHostShares()
    if (now - this.publishedAt < PUBLISH_MS) return
    this.publishedAt = now
    if (this.isScheduler) this.hub.publishState()
  }

  /** Runs after changes and at intervals, since removed servers become unusable, and links open and close. */
  private refresh (now: number): void {
    this.refreshedAt = now
    const { fleet, membership, deployment } = this.directory
    const servers = fleet.listUsable(now)
    this.hub.scheduler.setServers(servers, now)
    this.hub.scheduler.loads.setEvacuated(fleet.evacuatedDataCentres(now))
    this.serverPaths.connectionPool.setIdleLimits(computeIdleLimits(servers, deployment, membership.list().length))
    this.updateHostShares()
    if (this.isScheduler) this.memberEvictor.evictAbsent(membership, linkedHosts(this.hub, this.settings.host), now)
    else this.memberEvictor.reset()
  }

  /** Updates the shares that depend on the members. */
  private updateHostShares (): void {
    const { membership } = this.directory
    const now = this.clock.now()
    const memberCount = membership.isKnown ? Math.max(1, membership.list().length) : undefined
    this.dispatcher.retrySlackShare = this.retrySlack.update(memberCount, now)
    this.hub.scheduler.setShares(computeHostShares(this.hub, membership, this.settings.host, now), now)
  }

  private deploymentChanged (deployment: Deployment): void {
    this.ingress.setLimits(deployment.limits)
    this.hub.scheduler.loads.setServices(deployment.services.values())
    this.hub.scheduler.quotas.setOrganisations(deployment.organisations, this.clock.now())
    this.sendVersionVectors()
  }

  /** Refreshes once for all rows that are applied together. */
  private serversChanged (): void {
    if (this.isRefreshScheduled) return
    this.isRefreshScheduled = true
    queueMicrotask(() => {
      this.isRefreshScheduled = false
      this.runPart('servers', () => {
        this.refresh(this.clock.now())
        this.hub.tick()
        this.sendVersionVectors()
      })
    })
  }

  private membersChanged (): void {
    const members = this.directory.membership.list()
    this.schedulerSelector.setMembers(members)
    this.serverPaths.relays.setMembers(members)
    this.serversChanged()
  }

  /** Sends the version vector to linked hosts at once, so that those that lag behind request the missing rows. */
  private sendVersionVectors (): void {
    this.schedulerSelector.sendVersionVector()
    this.hub.broadcastVersionVector()
  }
}
