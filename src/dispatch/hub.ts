import type { Clock } from '../base/index.js'
import type { CrashEvidence } from '../poison/index.js'
import { type Effect, type Job, Outcome, type Scheduler } from '../schedule/index.js'
import type { ReplyHandler, SchedulerConnection } from './connection.js'
import type { Ask, Place } from './dispatch_pb.js'
import { isAmount } from './amount.js'
import { Feeds } from './feeds.js'
import type { Gossip } from './gossip.js'
import { createReply, decodeCrashes, decodeJob, encodeCrashes, encodeEffect } from './messages.js'
import { HostLinks } from './hostlinks.js'
import { CURRENT_PROTOCOL, Protocol } from './protocol.js'

/** Shortest time between two reports of crashes to the connected hosts, in milliseconds. */
const CRASH_REPORT_INTERVAL_MS = 100

const OUTCOMES: ReadonlySet<string> = new Set(Object.values(Outcome))

/** A host's report on a job that holds a slot. */
type ProgressReport = Extract<Ask['body'], { case: 'started' | 'silent' | 'ended' }>

/** A host's report on how much a server says that it endures. */
type ServerStatement = Extract<Ask['body'], { case: 'requestLimit' | 'brittle' }>

/** Connects the scheduler of this process to the hosts that use it, which may include this host. */
export class Hub {
  private readonly links = new HostLinks()
  private readonly feeds: Feeds
  /** Revision of the crash evidence that the connected hosts have, and when they got it. */
  private reportedCrashes = { revision: 0, at: -Infinity }

  /**
   * @param scheduler - the scheduler of this process
   * @param gossip - exchanges missing rows with the connected hosts
   * @param clock - monotonic time
   * @param onHostsChanged - called after a host was connected, before its first message is handled, or disconnected
   * @param onServerLeaving - called with id and start time of a server that told a host that it leaves
   */
  constructor (
    readonly scheduler: Scheduler,
    private readonly gossip: Gossip,
    private readonly clock: Clock,
    private readonly onHostsChanged: () => void = () => undefined,
    private readonly onServerLeaving: (id: string, born: number) => void = () => undefined
  ) {
    this.feeds = new Feeds(gossip, (host, news) => this.sendReply(host, 0, { case: 'news', value: news }))
  }

  /**
   * Connects a host. An earlier connection of the same host is closed.
   *
   * @param host - the name of the host
   * @param onReply - called with each reply to the host
   * @param protocol - a value of `Protocol`, which the host states
   * @returns the connection; messages sent on it are ignored once it is closed
   */
  connect (host: string, onReply: ReplyHandler, protocol: number = CURRENT_PROTOCOL): SchedulerConnection {
    this.disconnect(host)
    this.links.open(host, onReply, protocol, this.clock.now())
    this.onHostsChanged()
    if (this.scheduler.crashes.revision > 0) this.sendCrashes(host)
    return { send: ask => { if (this.links.replyHandler(host) === onReply) this.handleAsk(host, ask) } }
  }

  /**
   * Disconnects a host and removes its jobs from the scheduler.
   *
   * @param host - the name of the host
   * @param onReply - the reply handler of the connection to close; a newer connection of the host stays open. Any
   *   connection of the host is closed if left out.
   */
  disconnect (host: string, onReply?: ReplyHandler): void {
    const current = this.links.replyHandler(host)
    if (current === undefined || (onReply !== undefined && current !== onReply)) return
    this.links.close(host)
    this.feeds.stop(host)
    const prefix = formatJobId(host, '')
    this.scheduler.dropJobs(id => id.startsWith(prefix))
    this.onHostsChanged()
  }

  /** Names of the connected hosts. */
  get connectedHosts (): string[] {
    return this.links.hosts
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the number of connected hosts that no other scheduler counts too
   */
  settledHostCount (now: number): number {
    return this.links.settledCount(now)
  }

  /** Protocols of the connected hosts, for a dump. */
  get connectedProtocols (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.connectedHosts.map(host => [host, this.links.protocol(host)]))
  }

  /**
   * Sends the changes of rows to all connected hosts that are fed, and to all the version vector of this host and how
   * long ago the store responded to it.
   */
  broadcastVersionVector (): void {
    this.feeds.feedAll()
    for (const host of this.links.hosts) {
      this.sendReply(host, 0, { case: 'pong', value: this.gossip.pong() })
    }
  }

  /**
   * Sends the speed estimates of the scheduler to all connected hosts, any of which may be selected next, and the
   * version vector and the time since the store last responded, on which they rely while the store is silent to them.
   */
  publishState (): void {
    this.broadcastVersionVector()
    const { speeds } = this.scheduler.loads
    if (speeds.length === 0) return
    for (const host of this.links.hosts) this.sendReply(host, 0, { case: 'paces', value: { paces: speeds } })
  }

  /** @param evidence - what the scheduler in use knows of crashes, since this one may be selected next */
  adoptCrashes (evidence: CrashEvidence): void {
    this.scheduler.crashes.adopt(evidence, this.links.hosts.length === 0, this.clock.now())
  }

  /**
   * Schedules the queued jobs again, since queue timeouts and back-offs expire with time, and reports changes of the
   * crash evidence to all connected hosts, any of which may be selected next.
   */
  tick (): void {
    this.reportCrashes(this.clock.now())
    if (this.scheduler.queueLength > 0) this.sendEffects(this.scheduler.tick(this.clock.now()))
  }

  private handleAsk (host: string, ask: Ask): void {
    const now = this.clock.now()
    this.links.recordMessage(host, now)
    const id = formatJobId(host, String(ask.job))
    const { body } = ask
    switch (body.case) {
      case 'place': {
        const effects = this.scheduler.submit(this.decodeJob(host, id, body.value), now)
        this.sendEffects(effects)
        if (!effects.some(effect => effect.job === id)) this.sendReply(host, ask.job, { case: 'waiting', value: {} })
        break
      }
      case 'adopt':
        if (body.value.place === undefined) break
        this.scheduler.adoptRunningJob(
          this.decodeJob(host, id, body.value.place), body.value.server, body.value.started, now)
        break
      case 'started':
      case 'silent':
      case 'ended':
        this.handleProgress(id, body, now)
        break
      case 'requestLimit':
      case 'brittle':
        this.handleStatement(id, body, now)
        break
      case 'leaving':
        this.onServerLeaving(body.value.server, body.value.born)
        break
      case 'withdraw':
        this.scheduler.withdraw(id, body.value.service, now)
        break
      case 'levels':
        this.scheduler.quotas.adopt(body.value.levels, now)
        break
      case 'crashes':
        this.scheduler.crashes.adopt(decodeCrashes(body.value), false, now)
        break
      default:
        this.handleRowAsk(host, body)
    }
  }

  private decodeJob (host: string, id: string, place: Place): Job {
    return decodeJob(id, place, this.clock.now(), this.links.protocol(host) >= Protocol.statements)
  }

  /** Handles the messages by which hosts exchange rows. */
  private handleRowAsk (host: string, body: Ask['body']): void {
    switch (body.case) {
      case 'ping':
        if (this.links.protocol(host) >= Protocol.feed) this.feeds.resume(host, body.value.standing)
        this.sendReply(host, 0, { case: 'pong', value: this.gossip.pong() })
        this.gossip.compare(body.value.standing, behind => this.sendReply(host, 0, { case: 'behind', value: behind }))
        break
      case 'behind':
        this.sendReply(host, 0, { case: 'news', value: this.gossip.missingRows(body.value) })
        break
      case 'news':
        this.gossip.applyRows(body.value)
        break
    }
  }

  private handleProgress (id: string, report: ProgressReport, now: number): void {
    const { server } = report.value
    if (report.case === 'started') this.sendEffects(this.scheduler.recordFirstEvent(id, server, now))
    else if (report.case === 'silent') this.scheduler.loads.get(server)?.recordSilence(id, now)
    else {
      const { outcome, stepMs } = report.value
      const knownOutcome = OUTCOMES.has(outcome) ? outcome as Outcome : Outcome.cancelled
      this.sendEffects(this.scheduler.recordEnd(id, server, knownOutcome, stepMs > 0 ? stepMs : undefined, now))
    }
  }

  private handleStatement (id: string, statement: ServerStatement, now: number): void {
    const { server, born } = statement.value
    const load = this.scheduler.loads.get(server)
    const perS = statement.case === 'requestLimit' ? statement.value.requestsPerS : statement.value.rejectionsPerS
    if (load?.server.born !== born || !isAmount(perS)) return
    const run = load.running.get(id)
    if (statement.case === 'requestLimit') load.allowance.recordRequestLimit(run, perS, now)
    else load.allowance.brittleRoom.recordStatement(run, perS, now)
  }

  private reportCrashes (now: number): void {
    const { revision } = this.scheduler.crashes
    if (revision === this.reportedCrashes.revision || now - this.reportedCrashes.at < CRASH_REPORT_INTERVAL_MS) return
    this.reportedCrashes = { revision, at: now }
    for (const host of this.links.hosts) this.sendCrashes(host)
  }

  private sendCrashes (host: string): void {
    const evidence = encodeCrashes(this.scheduler.crashes.evidence(this.clock.now()))
    this.sendReply(host, 0, { case: 'crashes', value: evidence })
  }

  private sendEffects (effects: readonly Effect[]): void {
    for (const effect of effects) {
      const slash = effect.job.lastIndexOf('/')
      this.sendReply(effect.job.slice(0, slash), Number(effect.job.slice(slash + 1)), encodeEffect(effect))
    }
  }

  private sendReply (host: string, job: number, body: Parameters<typeof createReply>[1]): void {
    this.links.replyHandler(host)?.(createReply(job, body))
  }
}

function formatJobId (host: string, job: string): string {
  return `${host}/${job}`
}
