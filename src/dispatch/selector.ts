import type { Clock } from '../base/index.js'
import type { Dispatcher } from './dispatcher.js'
import type { Reply } from './dispatch_pb.js'
import type { Gossip } from './gossip.js'
import type { Hub } from './hub.js'
import { Link } from './link.js'
import type { Member } from './member.js'
import { rankMembers } from './memberranking.js'
import { createAsk, decodeCrashes, encodeCrashes } from './messages.js'
import { StoreCheck } from './storecheck.js'

/**
 * A scheduler that has not acknowledged a request for this long is replaced, in milliseconds. Longer than the 100 ms
 * for which a processor core may be paused.
 */
const ACK_TIMEOUT_MS = 150

/** A link on which a reply has been due for this long is closed, in milliseconds. */
const REPLY_TIMEOUT_MS = 450

/** A link on which no reply has arrived this long after it was opened is closed, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400

/** Time between two pings while jobs are queued, in milliseconds: a third of {@link REPLY_TIMEOUT_MS}. */
const QUEUED_PING_INTERVAL_MS = 150

/** Time between two pings while no jobs are queued, in milliseconds. */
const IDLE_PING_INTERVAL_MS = 1_000

/** Time before a host whose link failed is connected to again, in milliseconds. */
const RECONNECT_DELAY_MS = 600

/**
 * How long this host looks for another scheduler after it lost one before it uses its own, in milliseconds: many
 * network round trips. Requests stay queued meanwhile, since its own scheduler does not know which jobs of the other
 * hosts are running.
 */
const LOCAL_FALLBACK_DELAY_MS = 120

/**
 * Selects the scheduler that this host uses: that of the highest-ranked member it can connect to. Members with more
 * processor cores rank higher, since the selected host schedules for all hosts.
 */
export class SchedulerSelector {
  private rankedMembers: Member[] = []
  private link: Link | undefined
  private connecting: { member: Member, link: Link, since: number } | undefined
  private linkedMember: Member | undefined
  private isLocal = false
  /** When and why the last scheduler was lost; undefined once another is selected. */
  private loss: { readonly at: number, readonly reason: string } | undefined
  readonly storeCheck = new StoreCheck()
  private readonly lastFailureAtByHost = new Map<string, number>()

  /**
   * @param host - the name of this host
   * @param ip - the local IP address of outgoing connections
   * @param hub - gives access to the scheduler of this process
   * @param dispatcher - sends the requests of this host to the selected scheduler
   * @param gossip - exchanges missing rows with the selected host
   * @param clock - monotonic time
   * @param onChange - called with the host of each newly selected scheduler and the reason for the change
   */
  constructor (
    private readonly host: string,
    private readonly ip: string,
    private readonly hub: Hub,
    private readonly dispatcher: Dispatcher,
    private readonly gossip: Gossip,
    private readonly clock: Clock,
    private readonly onChange: (host: string, reason: string) => void
  ) {
    this.switchToLocal('this host started')
  }

  /**
   * Sets the members whose schedulers may be selected.
   *
   * @param members - all members, including this host if it is one
   */
  setMembers (members: readonly Member[]): void {
    this.rankedMembers = rankMembers(members)
    const rank = this.rankedMembers.findIndex(({ host }) => host === this.host)
    this.storeCheck.setMembers(rank, this.rankedMembers.length)
    const updated = this.rankedMembers.find(({ host }) => host === this.linkedMember?.host)
    // The scheduler of a member that was removed stays in use until another one is connected.
    if (this.link !== undefined && updated !== undefined && updated.address !== this.linkedMember?.address) {
      this.link.close('the address of the member changed')
    }
    this.tick()
  }

  /** The host whose scheduler is in use; undefined while the next one is being connected. */
  get schedulerHost (): string | undefined {
    return this.isLocal ? this.host : this.linkedMember?.host
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns whether another host reveals by gossip the changes that this host's polls of the store miss
   */
  isStoreChecked (now: number): boolean {
    return this.link !== undefined && this.storeCheck.isLeftToOthers(now)
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns whether another host feeds this one with all changes, so that it need not follow the store
   */
  isFed (now: number): boolean {
    const schedulesForOthers = this.isLocal && this.hub.connectedHosts.length > 1
    return !schedulesForOthers && this.storeCheck.isFollowingLeftToOthers(now)
  }

  /** Sends the version vector of this host to the selected host, unless that is this host. */
  sendVersionVector (): void {
    if (this.link !== undefined) this.ping(this.link)
  }

  /**
   * Checks timeouts, sends pings that are due and connects to a higher-ranked member if there is one. To be called
   * several times within the shortest timeout.
   */
  tick (): void {
    const now = this.clock.now()
    this.checkLinks(now)
    this.connectToHigherRanked(now)
    if (this.loss !== undefined && now - this.loss.at > LOCAL_FALLBACK_DELAY_MS) this.switchToLocal(this.loss.reason)
  }

  /** Closes the links to other hosts. */
  close (): void {
    this.rankedMembers = []
    for (const link of [this.connecting?.link, this.link]) link?.close('this host is stopping')
  }

  private checkLinks (now: number): void {
    const { link } = this
    if (link !== undefined) {
      const pingIntervalMs = this.dispatcher.hasQueuedJobs ? QUEUED_PING_INTERVAL_MS : IDLE_PING_INTERVAL_MS
      if (this.dispatcher.longestUnacknowledgedMs(now) > ACK_TIMEOUT_MS) link.close('a request was not acknowledged')
      else if (now - (link.replyDueSince ?? now) > REPLY_TIMEOUT_MS) link.close('no reply arrived in time')
      else if (now - link.lastSentAt > pingIntervalMs) this.ping(link)
    }
    if (this.connecting !== undefined && now - this.connecting.since > CONNECT_TIMEOUT_MS) {
      this.connecting.link.close('the connection was not established in time')
    }
  }

  /** Connects to the first member that ranks above the selected one and has not failed recently. */
  private connectToHigherRanked (now: number): void {
    if (this.connecting !== undefined) return
    for (const member of this.rankedMembers) {
      if (member.host === this.linkedMember?.host) return
      if (member.host === this.host) {
        if (!this.isLocal) this.switchToLocal('this host is the highest-ranked member in reach')
        return
      }
      if (now - (this.lastFailureAtByHost.get(member.host) ?? -RECONNECT_DELAY_MS) < RECONNECT_DELAY_MS) continue
      this.connect(member, now)
      return
    }
  }

  private connect (member: Member, now: number): void {
    const link: Link = new Link(this.host, this.ip, member.address, reply => {
      if (this.connecting?.link === link) this.switchToLink(member, link)
      if (this.link === link) this.handleReply(link, reply)
    }, this.clock, reason => this.handleClosed(member, link, reason))
    this.connecting = { member, link, since: now }
    this.ping(link)
  }

  private ping (link: Link): void {
    link.send(createAsk(0, { case: 'ping', value: { standing: this.gossip.versionVector() } }))
  }

  private handleReply (link: Link, reply: Reply): void {
    const { body } = reply
    if (body.case === 'pong') {
      this.storeCheck.record(body.value.storeAgeMs, this.clock.now())
      this.gossip.compare(body.value.standing, behind => link.send(createAsk(0, { case: 'behind', value: behind })))
    } else if (body.case === 'behind') {
      link.send(createAsk(0, { case: 'news', value: this.gossip.missingRows(body.value) }))
    } else if (body.case === 'news') {
      this.gossip.applyRows(body.value)
      if (body.value.standing !== undefined) this.storeCheck.recordFeed(this.clock.now())
    } else if (body.case === 'paces') {
      this.hub.scheduler.loads.adoptSpeeds(body.value.paces)
    } else if (body.case === 'crashes') {
      this.hub.adoptCrashes(decodeCrashes(body.value))
    } else {
      this.dispatcher.handleReply(reply)
    }
  }

  private switchToLink (member: Member, link: Link): void {
    this.connecting = undefined
    this.loss = undefined
    const previous = this.link
    this.link = link
    this.linkedMember = member
    this.storeCheck.reset()
    this.disconnectLocal()
    previous?.close('a higher-ranked member was selected')
    this.handOverCrashes(link)
    this.dispatcher.switchScheduler(link)
    this.onChange(member.host, 'it is the first in reach')
  }

  /** Sends what the previous scheduler knew of crashes, before any job. */
  private handOverCrashes (link: Link): void {
    const { crashes } = this.hub.scheduler
    const evidence = encodeCrashes(crashes.evidence(this.clock.now()))
    if (crashes.revision > 0) link.send(createAsk(0, { case: 'crashes', value: evidence }))
  }

  private handleClosed (member: Member, link: Link, reason: string): void {
    if (this.connecting?.link === link) this.connecting = undefined
    else if (this.link !== link) return
    const now = this.clock.now()
    this.lastFailureAtByHost.set(member.host, now)
    if (this.link !== link) return
    this.link = undefined
    this.linkedMember = undefined
    this.loss = { at: now, reason: `${member.host}: ${reason}` }
    this.connectToHigherRanked(now)
  }

  private switchToLocal (reason: string): void {
    this.loss = undefined
    const previous = this.link
    this.link = undefined
    this.linkedMember = undefined
    this.isLocal = true
    previous?.close('this host uses its own scheduler')
    this.dispatcher.switchScheduler(this.hub.connect(this.host, reply => this.dispatcher.handleReply(reply)))
    this.onChange(this.host, reason)
  }

  private disconnectLocal (): void {
    if (this.isLocal) this.hub.disconnect(this.host)
    this.isLocal = false
  }
}
