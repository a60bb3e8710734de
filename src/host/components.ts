import type Logger from 'bunyan'
import { OutputLengths } from '../admission/index.js'
import { type Clock, Lifecycle, SystemRandom, uuidV7 } from '../base/index.js'
import { ClaimStore } from '../claim/index.js'
import type { ConfigurationChange } from '../config/index.js'
import { EngineClient } from '../engine/index.js'
import { type EntryContext, ResponseIds } from '../entry/index.js'
import { Journal } from '../journal/index.js'
import type { MembershipEntry, MembershipView } from '../member/index.js'
import { LocalMetrics, type Metrics, StatsdMetrics } from '../metrics/index.js'
import { CrashHistory, Owner, ResponseCache } from '../owner/index.js'
import { Peers } from '../peer/index.js'
import { KeyCoordinator } from '../record/index.js'
import { AtMostOnceExecutor, RetryBudget, RetryingExecutor, ServiceClient } from '../service/index.js'
import type { Settings } from '../settings/index.js'
import { ConfigurationLog } from './configlog.js'
import { Heartbeat } from './heartbeat.js'
import { HostIdentity } from './identity.js'
import { RemoteReplicas, RoutedCoordinators, RoutedOwners, type RoutingContext } from './routing.js'
import { MembershipLog } from './memberlog.js'
import type { Platform } from './platform.js'
import { WorkerPools } from './pools.js'

/** A response is treated as aborted if its engine sends nothing for this long, in milliseconds. */
const ENGINE_IDLE_TIMEOUT_MS = 30_000

/** What the components of a host are built from. */
export interface HostOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly log: Logger
  readonly platform: Platform
  /** The secret key that all hosts share. */
  readonly peerKey: string
  readonly lifecycle: Lifecycle
}

/** Builds the components of a host and connects them to each other. */
export class Components {
  readonly identity: HostIdentity
  readonly peers: Peers
  readonly metrics: Metrics
  readonly configurationLog: ConfigurationLog
  readonly membershipLog: MembershipLog
  readonly coordinator: KeyCoordinator
  readonly owner: Owner
  readonly responseCache: ResponseCache
  readonly crashHistory: CrashHistory
  readonly pools = new WorkerPools()
  readonly heartbeat: Heartbeat
  private readonly routing: RoutingContext
  private readonly responseIds: ResponseIds

  /** @param options - settings, clock, logger and platform clients */
  constructor (private readonly options: HostOptions) {
    const { settings, clock, log, platform, peerKey } = options
    const { retention, answer_bytes: answerBytes } = settings.limits
    const view = (): MembershipView => this.membershipLog.view
    this.identity = new HostIdentity(settings, clock)
    this.responseIds = new ResponseIds(peerKey)
    this.peers = new Peers(peerKey, settings.peer.ip)
    this.metrics = createMetrics(settings)
    this.configurationLog = new ConfigurationLog(new Journal<ConfigurationChange>(platform.table, 'config'), clock, log)
    this.membershipLog = new MembershipLog({
      self: () => this.identity.member,
      journal: new Journal<MembershipEntry>(platform.table, 'members'),
      clock,
      log,
      retentionMs: retention
    })
    this.routing = {
      self: this.self, peers: this.peers, view, clock, coordinator: () => this.coordinator, owner: () => this.owner
    }
    this.coordinator = new KeyCoordinator(
      {
        self: this.self,
        view,
        isIsolated: now => this.membershipLog.failureDetector.isIsolated(now),
        now: () => clock.now()
      },
      new RemoteReplicas(this.routing), retention)
    this.responseCache = new ResponseCache(answerBytes, retention)
    this.crashHistory = new CrashHistory(retention)
    this.owner = this.createOwner()
    this.heartbeat = new Heartbeat(this.self, this.peers, this.membershipLog, this.configurationLog, clock)
    options.lifecycle.onClose('metrics', () => this.metrics.close())
    options.lifecycle.onClose('peer connections', () => this.peers.close())
    options.lifecycle.onClose('owner', () => this.owner.close())
  }

  /** Returns this member's id, which changes when the host rejoins. */
  readonly self = (): string => this.identity.member.id

  /**
   * Builds the context of the HTTP routes for callers.
   *
   * @param isOpen - returns whether this host accepts new requests
   * @returns the context; its service connections are closed with the host
   */
  createEntryContext (isOpen: () => boolean): EntryContext {
    const { settings, clock, log, platform, lifecycle } = this.options
    const { body_bytes: maxBodyBytes, requests: maxRequests, retention } = settings.limits
    const services = new ServiceClient(maxBodyBytes)
    lifecycle.onClose('service connections', () => services.close())
    return {
      deliveryContext: {
        self: this.self,
        clock,
        random: new SystemRandom(),
        owners: new RoutedOwners(this.routing),
        keyCoordinators: new RoutedCoordinators(this.routing),
        view: () => this.membershipLog.view,
        configuration: () => this.configurationLog.configuration,
        isPoison: (fingerprint, now) => this.crashHistory.isPoison(fingerprint, now)
      },
      responseIds: this.responseIds,
      atMostOnce: new AtMostOnceExecutor(
        services, new ClaimStore(platform.table, platform.objects, retention, clock), this.self, clock
      ),
      retrier: new RetryingExecutor(services, new RetryBudget(), clock),
      poolOf: name => this.pools.poolFor(name),
      metrics: this.metrics,
      log,
      maxBodyBytes,
      maxRequests,
      acceptsRequests: isOpen
    }
  }

  /** Records an engine crash on this host and reports it to all others. */
  private async reportCrash (fingerprint: string, server: string): Promise<void> {
    this.crashHistory.recordCrash(fingerprint, server, this.options.clock.now())
    const others = [...this.membershipLog.view.members.values()].filter(member => member.id !== this.self())
    await Promise.all(others.map(async peer => {
      const ack = await this.peers.callOverLink(peer, { case: 'crash', value: { fingerprint, server } })
      if (ack.isErr()) this.options.log.warn({ member: peer.id, server, reason: ack.error.message }, 'crash report lost')
    }))
  }

  private createOwner (): Owner {
    const { clock, log, lifecycle } = this.options
    const client = new EngineClient(ENGINE_IDLE_TIMEOUT_MS)
    lifecycle.onClose('engine connections', () => client.close())
    return new Owner(this.self, {
      client,
      coordinators: new RoutedCoordinators(this.routing),
      outputLengths: new OutputLengths(),
      responseCache: this.responseCache,
      metrics: this.metrics,
      clock,
      log,
      reportCrash: (fingerprint, server) => this.reportCrash(fingerprint, server),
      createResponseId: (server, organisation) => this.responseIds.create(uuidV7(clock.now()), server, organisation)
    })
  }
}

function createMetrics (settings: Settings): Metrics {
  if (settings.metrics === undefined) return new LocalMetrics()
  return new StatsdMetrics(settings.metrics.ip, settings.metrics.port, settings.host)
}
