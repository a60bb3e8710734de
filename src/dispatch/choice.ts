import { type Clock, Ranking } from '../base/index.js'
import type { Dispatcher } from './dispatcher.js'
import type { Reply } from './dispatch_pb.js'
import { askFrame } from './frames.js'
import type { Gossip } from './gossip.js'
import type { Hub } from './hub.js'
import { Link } from './link.js'
import type { Member } from './member.js'

/** What the members are ranked for; equal on all hosts. */
const RANKING_KEY = 'scheduler'

/** An ask that got no sign for this long is asked elsewhere, in milliseconds: above a paused core's 100 ms. */
const ANSWER_MS = 150

/** A link on which an answer is due for this long is given up, in milliseconds. */
const SILENCE_MS = 450

/** A link that does not come up in this time is given up, in milliseconds. */
const OPENING_MS = 400

/** Time between two signs of life while jobs wait, in milliseconds: a third of the silence that is borne. */
const WAITING_PING_MS = 150

/** Time between two signs of life otherwise, in milliseconds. */
const IDLE_PING_MS = 1_000

/** A link that failed is tried again after this time, in milliseconds. */
const RETRY_MS = 600

/**
 * Time in which the next scheduler must be linked after the last one was lost, in milliseconds: many ways there and
 * back. Asks wait meanwhile, since a host by itself does not know what the others have running.
 */
const CHANGE_MS = 120

/**
 * Chooses the scheduler that this host asks: the first member in the ranking that it reaches. Members with more
 * processor cores rank first, since the one that schedules does work for all.
 */
export class Choice {
  private ranked: Member[] = []
  private link: Link | undefined
  private opening: { member: Member, link: Link, since: number } | undefined
  private linkedTo: Member | undefined
  private isLocal = false
  /** When the last scheduler was lost and why, until there is another. */
  private lost: { readonly at: number, readonly reason: string } | undefined
  private readonly failedAt = new Map<string, number>()

  /**
   * @param host - the name of this host
   * @param ip - the IP number that it calls from
   * @param hub - this host's own scheduler
   * @param dispatcher - asks the scheduler that is chosen
   * @param gossip - tells other hosts what they lack
   * @param clock - steady time
   * @param onChange - told the name of each new choice and why the one before ended
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
    this.useLocal('the start')
  }

  /**
   * Sets who may be asked.
   *
   * @param members - all members, this host among them if it takes part
   */
  setMembers (members: readonly Member[]): void {
    const byHost = new Map(members.map(member => [member.host, member]))
    this.ranked = new Ranking(byHost.keys()).top(RANKING_KEY, byHost.size).map(host => byHost.get(host)!)
      .sort((a, b) => b.cores - a.cores)
    const current = this.linkedTo === undefined ? undefined : byHost.get(this.linkedTo.host)
    // A member that leaves answers until another one is linked.
    if (this.link !== undefined && current !== undefined && current.address !== this.linkedTo?.address) {
      this.link.close('the member was replaced')
    }
    this.tick()
  }

  /** The host whose scheduler is asked; undefined while the next one is being linked. */
  get current (): string | undefined {
    return this.isLocal ? this.host : this.linkedTo?.host
  }

  /** Tells the chosen host what this one knows of the store. */
  announce (): void {
    if (this.link !== undefined) this.ping(this.link)
  }

  /** Looks at the links again, since time has passed. */
  tick (): void {
    const now = this.clock.now()
    this.watch(now)
    this.openBetter(now)
    if (this.lost !== undefined && now - this.lost.at > CHANGE_MS) this.useLocal(this.lost.reason)
  }

  /** Closes the links. */
  close (): void {
    this.ranked = []
    this.opening?.link.close('this host stops')
    this.link?.close('this host stops')
  }

  private watch (now: number): void {
    const { link } = this
    if (link !== undefined) {
      const isWaiting = this.dispatcher.isWaiting
      const pingMs = isWaiting ? WAITING_PING_MS : IDLE_PING_MS
      if (this.dispatcher.oldestUnheardMs(now) > ANSWER_MS) link.close('an ask got no answer')
      else if (now - (link.awaitedSince ?? now) > SILENCE_MS) link.close('it fell silent')
      else if (now - link.sentAt > pingMs) this.ping(link)
    }
    if (this.opening !== undefined && now - this.opening.since > OPENING_MS) {
      this.opening.link.close('it did not come up')
    }
  }

  /** Opens a link to the first member that ranks above the present choice and did not fail lately. */
  private openBetter (now: number): void {
    if (this.opening !== undefined) return
    for (const member of this.ranked) {
      if (member.host === this.linkedTo?.host) return
      if (member.host === this.host) {
        if (!this.isLocal) this.useLocal('this host ranks first of those in reach')
        return
      }
      if (now - (this.failedAt.get(member.host) ?? -RETRY_MS) < RETRY_MS) continue
      this.open(member, now)
      return
    }
  }

  private open (member: Member, now: number): void {
    const link: Link = new Link(this.host, this.ip, member.address, reply => {
      if (this.opening?.link === link) this.useLink(member, link)
      if (this.link === link) this.receive(link, reply)
    }, this.clock, reason => this.linkDown(member, link, reason))
    this.opening = { member, link, since: now }
    this.ping(link)
  }

  private ping (link: Link): void {
    link.send(askFrame(0, { case: 'ping', value: { standing: this.gossip.standing() } }))
  }

  private receive (link: Link, reply: Reply): void {
    const { body } = reply
    if (body.case === 'pong') {
      this.gossip.heard(body.value.standing, behind => link.send(askFrame(0, { case: 'behind', value: behind })))
    } else if (body.case === 'behind') {
      link.send(askFrame(0, { case: 'news', value: this.gossip.answer(body.value) }))
    } else if (body.case === 'news') {
      this.gossip.take(body.value)
    } else if (body.case === 'paces') {
      this.hub.scheduler.loads.adoptPaces(body.value.paces)
    } else {
      this.dispatcher.take(reply)
    }
  }

  private useLink (member: Member, link: Link): void {
    this.opening = undefined
    this.lost = undefined
    const before = this.link
    this.link = link
    this.linkedTo = member
    this.leaveLocal()
    before?.close('another member ranks higher')
    this.dispatcher.use(link)
    this.onChange(member.host, 'it is the first in reach')
  }

  private linkDown (member: Member, link: Link, reason: string): void {
    if (this.opening?.link === link) this.opening = undefined
    else if (this.link !== link) return
    const now = this.clock.now()
    this.failedAt.set(member.host, now)
    if (this.link !== link) return
    this.link = undefined
    this.linkedTo = undefined
    this.lost = { at: now, reason: `${member.host}: ${reason}` }
    this.openBetter(now)
  }

  private useLocal (reason: string): void {
    this.lost = undefined
    const before = this.link
    this.link = undefined
    this.linkedTo = undefined
    this.isLocal = true
    before?.close('this host asks its own scheduler')
    this.dispatcher.use(this.hub.connect(this.host, reply => this.dispatcher.take(reply)))
    this.onChange(this.host, reason)
  }

  private leaveLocal (): void {
    if (!this.isLocal) return
    this.isLocal = false
    this.hub.disconnect(this.host)
  }
}
