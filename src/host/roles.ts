import type Logger from 'bunyan'
import { OutputLengths } from '../admission/index.js'
import { type Clock, Lifecycle, SystemRandom, timeId } from '../base/index.js'
import { Claims } from '../claim/index.js'
import type { Changes } from '../config/index.js'
import { EngineClient } from '../engine/index.js'
import { type Context, ResponseIds } from '../entry/index.js'
import { Journal } from '../journal/index.js'
import type { Entry, View } from '../member/index.js'
import { LocalMetrics, type Metrics, StatsdMetrics } from '../metrics/index.js'
import { Answers, Owner, CrashHistory } from '../owner/index.js'
import { Peers } from '../peer/index.js'
import { Home } from '../record/index.js'
import { Once, Repeater, RetryBudget, ServiceClient } from '../service/index.js'
import type { Settings } from '../settings/index.js'
import { Configurations } from './configurations.js'
import { Heartbeat } from './heartbeat.js'
import { Identity } from './identity.js'
import { type Reach, ReachedCopies, ReachedHomes, ReachedOwners } from './mates.js'
import { Members } from './members.js'
import type { Platform } from './platform.js'
import { Pools } from './pools.js'

/** An engine silent for this long has broken off its answer, in milliseconds. */
const ENGINE_SILENCE_MS = 30_000

/** What the roles of a host are built from. */
export interface Parts {
  readonly settings: Settings
  readonly clock: Clock
  readonly log: Logger
  readonly platform: Platform
  /** The key which all hosts share. */
  readonly peerKey: string
  readonly lifecycle: Lifecycle
}

/** The roles of one host, wired to each other. */
export class Roles {
  readonly identity: Identity
  readonly peers: Peers
  readonly metrics: Metrics
  readonly configurations: Configurations
  readonly members: Members
  readonly home: Home
  readonly owner: Owner
  readonly answers: Answers
  readonly suspects: CrashHistory
  readonly pools = new Pools()
  readonly heartbeat: Heartbeat
  private readonly reach: Reach
  private readonly ids: ResponseIds

  /** @param parts - what they are built from */
  constructor (private readonly parts: Parts) {
    const { settings, clock, log, platform, peerKey } = parts
    const { retention, answer_bytes: answerBytes } = settings.limits
    const view = (): View => this.members.view
    this.identity = new Identity(settings, clock)
    this.ids = new ResponseIds(peerKey)
    this.peers = new Peers(peerKey, settings.peer.ip)
    this.metrics = openMetrics(settings)
    this.configurations = new Configurations(new Journal<Changes>(platform.table, 'config'), clock, log)
    this.members = new Members({
      self: () => this.identity.member,
      journal: new Journal<Entry>(platform.table, 'members'),
      clock,
      log,
      retentionMs: retention
    })
    this.reach = {
      self: this.self, peers: this.peers, view, clock, home: () => this.home, owner: () => this.owner
    }
    this.home = new Home(
      { self: this.self, view, isIsolated: now => this.members.watch.isIsolated(now), now: () => clock.now() },
      new ReachedCopies(this.reach), retention)
    this.answers = new Answers(answerBytes, retention)
    this.suspects = new CrashHistory(retention)
    this.owner = this.openOwner()
    this.heartbeat = new Heartbeat(this.self, this.peers, this.members, this.configurations, clock)
    parts.lifecycle.own('metrics', () => this.metrics.close())
    parts.lifecycle.own('peer connections', () => this.peers.close())
    parts.lifecycle.own('owner', () => this.owner.close())
  }

  /** Tells this member's id. */
  readonly self = (): string => this.identity.member.id

  /**
   * Builds what the callers' interface works with.
   *
   * @param isOpen - whether this host takes new requests
   * @returns the context
   */
  context (isOpen: () => boolean): Context {
    const { settings, clock, log, platform, lifecycle } = this.parts
    const { body_bytes: greatestBodyBytes, requests: greatestRequests, retention } = settings.limits
    const services = new ServiceClient(greatestBodyBytes)
    lifecycle.own('service connections', () => services.close())
    return {
      desk: {
        self: this.self,
        clock,
        random: new SystemRandom(),
        owners: new ReachedOwners(this.reach),
        homes: new ReachedHomes(this.reach),
        view: () => this.members.view,
        configuration: () => this.configurations.configuration,
        isConvicted: (fingerprint, now) => this.suspects.isPoison(fingerprint, now)
      },
      ids: this.ids,
      once: new Once(services, new Claims(platform.table, platform.objects, retention, clock), this.self, clock),
      repeater: new Repeater(services, new RetryBudget(), clock),
      pool: name => this.pools.of(name),
      metrics: this.metrics,
      log,
      greatestBodyBytes,
      greatestRequests,
      isOpen
    }
  }

  /** Remembers a crash here and has every other host remember it. */
  private async tellCrash (fingerprint: string, server: string): Promise<void> {
    this.suspects.recordCrash(fingerprint, server, this.parts.clock.now())
    const others = [...this.members.view.members.values()].filter(member => member.id !== this.self())
    await Promise.all(others.map(async member => {
      const told = await this.peers.ask(member, { case: 'crash', value: { fingerprint, server } })
      if (told.isErr()) this.parts.log.warn({ member: member.id, server, reason: told.error.message }, 'crash not told')
    }))
  }

  private openOwner (): Owner {
    const { clock, log, lifecycle } = this.parts
    const client = new EngineClient(ENGINE_SILENCE_MS)
    lifecycle.own('engine connections', () => client.close())
    return new Owner(this.self, {
      client,
      homes: new ReachedHomes(this.reach),
      lengths: new OutputLengths(),
      answers: this.answers,
      metrics: this.metrics,
      clock,
      log,
      onCrash: (fingerprint, server) => this.tellCrash(fingerprint, server),
      responseId: (server, organisation) => this.ids.make(timeId(clock.now()), server, organisation)
    })
  }
}

function openMetrics (settings: Settings): Metrics {
  if (settings.metrics === undefined) return new LocalMetrics()
  return new StatsdMetrics(settings.metrics.ip, settings.metrics.port, settings.host)
}
