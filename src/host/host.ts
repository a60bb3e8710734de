import type Logger from 'bunyan'
import { err, ok, type Result } from 'neverthrow'
import { type Clock, Failure, Lifecycle, toError } from '../base/index.js'
import { type MembershipView, PROBE_PERIOD_MS } from '../member/index.js'
import { Listener } from '../peer/index.js'
import { readTextFile, type Settings } from '../settings/index.js'
import { dump, dumpAll } from './dump.js'
import { PeerHandlers } from './handlers.js'
import { openPlatform } from './platform.js'
import { Components, type HostOptions } from './components.js'
import { HostMembership } from './membership.js'
import { HostHttpServer } from './httpserver.js'

/** A host can't start: `settings` (a key file can't be read) or `address` (it can't listen). */
export class HostFailure extends Failure<'settings' | 'address'> {}

/** Period of reading the replicated logs from the table, in milliseconds. */
const POLL_PERIOD_MS = 2_000
const EXPIRY_PERIOD_MS = 5_000
const METRICS_PERIOD_MS = 2_000
/** Period of reading the platform's list of hosts, in milliseconds. */
const HOST_LIST_PERIOD_MS = 5_000

/** A host process: its components, listeners and periodic tasks. */
export class Host {
  private readonly components: Components
  private readonly membership: HostMembership
  private readonly httpServer: HostHttpServer
  private readonly listener: Listener
  private readonly closeListeners: Array<() => void> = []
  private port = 0

  private constructor (private readonly options: HostOptions) {
    const { settings, clock, log, lifecycle, peerKey } = options
    this.components = new Components(options)
    this.membership = new HostMembership(this.components, clock, log)
    const {
      configurationLog, membershipLog, peers, heartbeat, coordinator, owner, crashHistory, self
    } = this.components
    const admin = {
      configuration: () => configurationLog.configuration,
      history: () => configurationLog.history,
      submit: configurationLog.submit.bind(configurationLog),
      dump: () => this.dump(),
      dumpAll: async () => await dumpAll(membershipLog.view, self(), peers, this.dump()),
      drain: () => { void this.drain() },
      setupKey: peerKey
    }
    this.httpServer = new HostHttpServer(
      settings, this.components.createEntryContext(() => this.membership.isOpen), admin, () => this.membership.isReady)
    const context = {
      self, clock, membershipLog, configurationLog, heartbeat, coordinator, owner, crashHistory, dump: () => this.dump()
    }
    this.listener = new Listener(new PeerHandlers(context).serviceHandlers(), peerKey)
    lifecycle.onClose('peer listener', () => this.listener.close())
    lifecycle.onClose('callers', () => this.httpServer.close())
  }

  /**
   * Starts a host. It listens at once, and joins the membership as soon as the table answers.
   *
   * @param settings - the settings of the process
   * @param clock - source of time for all components
   * @param log - the logger of the process
   * @returns the host, or why it can't start
   */
  static async start (settings: Settings, clock: Clock, log: Logger): Promise<Result<Host, HostFailure>> {
    const lifecycle = new Lifecycle()
    const opened = openPlatform(settings, lifecycle)
      .andThen(platform => readTextFile(settings.peer.key_file).map(peerKey => ({ platform, peerKey })))
    if (opened.isErr()) {
      return err(new HostFailure('HostFailure', { code: 'settings', cause: opened.error }, opened.error.message))
    }
    const host = new Host({ settings, clock, log, lifecycle, ...opened.value })
    try {
      await host.listen()
    } catch (thrown) {
      await host.close()
      const cause = toError(thrown)
      return err(new HostFailure('HostFailure', { code: 'address', cause }, `listening: ${cause.message}`))
    }
    return ok(host)
  }

  /** The port on which the host accepts callers. */
  get callerPort (): number {
    return this.port
  }

  /**
   * Stops gracefully: rejects new requests, waits for those in progress, transfers records, and closes.
   *
   * @returns once the host is closed; at once if it is already draining
   */
  async drain (): Promise<void> {
    if (this.membership.isLeaving) return
    this.options.log.info('draining')
    await this.membership.leave(
      () => this.httpServer.requestFilter.requestsInProgress + this.components.owner.load,
      this.options.settings.limits.drain)
    await this.close()
  }

  /** Closes at once, without waiting for requests in progress. */
  async close (): Promise<void> {
    const failures = await this.options.lifecycle.close()
    for (const failure of failures) this.options.log.warn({ err: failure }, 'could not close a component')
    for (const listener of this.closeListeners) listener()
  }

  /** @param listener - called when the host has closed */
  onClosed (listener: () => void): void {
    this.closeListeners.push(listener)
  }

  /** @returns the state dump of this host */
  dump (): object {
    const { identity, membershipLog, configurationLog, coordinator, responseCache, owner, metrics } = this.components
    return dump({
      member: identity.member,
      isReady: this.membership.isReady,
      isIsolated: membershipLog.failureDetector.isIsolated(this.options.clock.now()),
      view: membershipLog.view,
      configuration: configurationLog.configuration,
      requests: this.httpServer.requestFilter.requestsInProgress,
      records: coordinator.size,
      answers: { count: responseCache.count, bytes: responseCache.bytes },
      ownedServers: owner.state,
      metrics: metrics.totals()
    })
  }

  private async listen (): Promise<void> {
    const { peer } = this.options.settings
    const peerPort = await this.listener.listen(peer.ip, peer.port)
    this.port = await this.httpServer.listen()
    this.startBackgroundTasks()
    void this.membership.start({ peer: peerPort, caller: this.port })
  }

  private startBackgroundTasks (): void {
    const { configurationLog, membershipLog, pools, owner, heartbeat, coordinator, responseCache } = this.components
    const { lifecycle, clock } = this.options
    membershipLog.onChange((before, after) => this.handleViewChange(before, after))
    configurationLog.onChange(configuration => {
      pools.update(configuration)
      if (!this.membership.isLeaving) owner.reconcile(configuration, membershipLog.view)
      heartbeat.announceRevisions()
    })
    lifecycle.runEvery('poll', POLL_PERIOD_MS, async () => {
      await Promise.all([membershipLog.poll(), configurationLog.poll()])
    })
    lifecycle.runEvery('heartbeat', PROBE_PERIOD_MS, async () => await heartbeat.runRound())
    lifecycle.runEvery('host list', HOST_LIST_PERIOD_MS, async () => await this.drainIfListedAsLeaving())
    lifecycle.runEvery('metrics', METRICS_PERIOD_MS, () => owner.reportMetrics())
    lifecycle.runEvery('expiry', EXPIRY_PERIOD_MS, () => {
      coordinator.expire(clock.now())
      responseCache.evict(clock.now())
    })
  }

  /** Drains if the platform lists this host as leaving, in case the process received no signal or drain call. */
  private async drainIfListedAsLeaving (): Promise<void> {
    const listed = await this.options.platform.hosts.list()
    if (listed.isErr()) return
    const entry = listed.value.find(candidate => candidate.host === this.options.settings.host)
    if (entry?.leaving === true) await this.drain()
  }

  private handleViewChange (before: MembershipView, after: MembershipView): void {
    const { peers, owner, configurationLog, heartbeat } = this.components
    peers.retain(after.members)
    if (!this.membership.isLeaving) owner.reconcile(configurationLog.configuration, after)
    this.membership.handleViewChange(before, after)
    heartbeat.announceRevisions()
  }
}
