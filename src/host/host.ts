import type Logger from 'bunyan'
import { err, ok, type Result } from 'neverthrow'
import { type Clock, Failure, Lifecycle, toError } from '../base/index.js'
import { PROBE_PERIOD_MS, type View } from '../member/index.js'
import { Listener } from '../peer/index.js'
import { readSecret, type Settings } from '../settings/index.js'
import { dump, dumpAll } from './dump.js'
import { Handlers } from './handlers.js'
import { openPlatform } from './platform.js'
import { type Parts, Roles } from './roles.js'
import { Tenure } from './tenure.js'
import { Web } from './web.js'

/** Says that a host can't start. */
export class HostFailure extends Failure<'settings' | 'address'> {}

/** Time between two reads of the logs, in milliseconds. */
const POLL_PERIOD_MS = 2_000
const EXPIRE_PERIOD_MS = 5_000
const REPORT_PERIOD_MS = 2_000
/** Time between two looks at the platform's list of hosts, in milliseconds. */
const LIST_PERIOD_MS = 5_000

/** One host's process: all roles, put together. */
export class Host {
  private readonly roles: Roles
  private readonly tenure: Tenure
  private readonly web: Web
  private readonly listener: Listener
  private readonly closeListeners: Array<() => void> = []
  private port = 0

  private constructor (private readonly parts: Parts) {
    const { settings, clock, log, lifecycle, peerKey } = parts
    this.roles = new Roles(parts)
    this.tenure = new Tenure(this.roles, clock, log)
    const { configurations, members, peers, heartbeat, home, owner, suspects, self } = this.roles
    const admin = {
      configuration: () => configurations.configuration,
      history: () => configurations.history,
      submit: configurations.submit.bind(configurations),
      dump: () => this.dump(),
      dumpAll: async () => await dumpAll(members.view, self(), peers, this.dump()),
      drain: () => { void this.drain() },
      setupKey: peerKey
    }
    this.web = new Web(settings, this.roles.context(() => this.tenure.isOpen), admin, () => this.tenure.isReady)
    const tools = { self, clock, members, configurations, heartbeat, home, owner, suspects, dump: () => this.dump() }
    this.listener = new Listener(new Handlers(tools).all(), peerKey)
    lifecycle.own('peer listener', () => this.listener.close())
    lifecycle.own('callers', () => this.web.close())
  }

  /**
   * Starts a host. It listens at once and joins the others when the table answers.
   *
   * @param settings - the process's settings
   * @param clock - the present time
   * @param log - the process's log
   * @returns the host, or why it can't start
   */
  static async start (settings: Settings, clock: Clock, log: Logger): Promise<Result<Host, HostFailure>> {
    const lifecycle = new Lifecycle()
    const opened = openPlatform(settings, lifecycle)
      .andThen(platform => readSecret(settings.peer.key_file).map(peerKey => ({ platform, peerKey })))
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

  /** The port where callers connect. */
  get callerPort (): number {
    return this.port
  }

  /**
   * Stops as planned: takes nothing new, lets what runs finish, hands over records, and closes.
   *
   * @returns when all is closed
   */
  async drain (): Promise<void> {
    if (this.tenure.isLeaving) return
    this.parts.log.info('draining')
    await this.tenure.leave(() => this.web.gate.count + this.roles.owner.load, this.parts.settings.limits.drain)
    await this.close()
  }

  /** Closes at once. */
  async close (): Promise<void> {
    const failures = await this.parts.lifecycle.close()
    for (const failure of failures) this.parts.log.warn({ err: failure }, 'closing')
    for (const listener of this.closeListeners) listener()
  }

  /** @param listener - called when the host has closed */
  onClosed (listener: () => void): void {
    this.closeListeners.push(listener)
  }

  /** @returns the state for people and tools to read */
  dump (): object {
    const { identity, members, configurations, home, answers, owner, metrics } = this.roles
    return dump({
      member: identity.member,
      isReady: this.tenure.isReady,
      isIsolated: members.watch.isIsolated(this.parts.clock.now()),
      view: members.view,
      configuration: configurations.configuration,
      requests: this.web.gate.count,
      records: home.size,
      answers: { count: answers.count, bytes: answers.bytes },
      owner: owner.state,
      metrics: metrics.totals()
    })
  }

  private async listen (): Promise<void> {
    const { peer } = this.parts.settings
    const peerPort = await this.listener.listen(peer.ip, peer.port)
    this.port = await this.web.listen()
    this.follow()
    void this.tenure.start({ peer: peerPort, caller: this.port })
  }

  private follow (): void {
    const { configurations, members, pools, owner, heartbeat, home, answers } = this.roles
    const { lifecycle, clock } = this.parts
    members.onChange((before, after) => this.viewChanged(before, after))
    configurations.onChange(configuration => {
      pools.follow(configuration)
      if (!this.tenure.isLeaving) owner.follow(configuration, members.view)
      heartbeat.spread()
    })
    lifecycle.every('poll', POLL_PERIOD_MS, async () => {
      await Promise.all([members.poll(), configurations.poll()])
    })
    lifecycle.every('heartbeat', PROBE_PERIOD_MS, async () => await heartbeat.beat())
    lifecycle.every('host list', LIST_PERIOD_MS, async () => await this.heedList())
    lifecycle.every('metrics', REPORT_PERIOD_MS, () => owner.report())
    lifecycle.every('expiry', EXPIRE_PERIOD_MS, () => {
      home.expire(clock.now())
      answers.expire(clock.now())
    })
  }

  /** Drains once the platform lists this host as leaving, should nobody have told the process. */
  private async heedList (): Promise<void> {
    const listed = await this.parts.platform.hosts.list()
    if (listed.isErr()) return
    const own = listed.value.find(each => each.host === this.parts.settings.host)
    if (own?.leaving === true) await this.drain()
  }

  private viewChanged (before: View, after: View): void {
    const { peers, owner, configurations, heartbeat } = this.roles
    peers.retain(after.members)
    if (!this.tenure.isLeaving) owner.follow(configurations.configuration, after)
    this.tenure.follow(before, after)
    heartbeat.spread()
  }
}
