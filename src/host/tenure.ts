import type Logger from 'bunyan'
import { type Clock } from '../base/index.js'
import type { Member, View } from '../member/index.js'
import type { Roles } from './roles.js'

const JOIN_PAUSE_MS = 1_000
/** How long a view takes to reach the other hosts, in milliseconds. */
const SPREAD_MS = 1_500
/** How long logging the leave may take before the host leaves without it, in milliseconds. */
const LEAVE_TIMEOUT_MS = 1_500
const DRAIN_PAUSE_MS = 200

/** The ports that a host listens at. */
export interface Ports {
  readonly peer: number
  readonly caller: number
}

/** A host's time among the members: it joins, leaves, and joins anew when others took it for dead. */
export class Tenure {
  private joined = false
  private leaving = false
  private open = true
  private renewing = false
  private ports: Ports = { peer: 0, caller: 0 }
  /** Whether the last handover of records reached all that were to get some. */
  private rebalancing: Promise<boolean> = Promise.resolve(true)

  /**
   * @param roles - the host's roles
   * @param clock - the present time
   * @param log - the process's log
   */
  constructor (private readonly roles: Roles, private readonly clock: Clock, private readonly log: Logger) {}

  /** Whether the balancer may send new requests. */
  get isReady (): boolean {
    return this.joined && !this.leaving
  }

  /** Whether new requests are taken; a leaving host takes them a little longer than it is ready. */
  get isOpen (): boolean {
    return this.open
  }

  /** Whether a planned stop has begun. */
  get isLeaving (): boolean {
    return this.leaving
  }

  /**
   * Joins the members, however long the table takes to answer.
   *
   * @param ports - where the host listens
   */
  async start (ports: Ports): Promise<void> {
    this.ports = ports
    this.roles.identity.renew(ports.peer, ports.caller)
    await this.join()
  }

  /**
   * Takes up a change of the view: hands records over, and joins anew if this host was logged as failed.
   *
   * @param before - the view until now
   * @param after - the view from now on
   */
  follow (before: View, after: View): void {
    const { id } = this.roles.identity.member
    this.rebalancing = this.roles.home.rebalance(before, after).then(result => {
      if (result.isErr()) this.log.warn({ err: result.error }, 'records were not handed over')
      return result.isOk()
    })
    if (before.members.has(id) && !after.members.has(id) && !this.leaving) void this.rejoin()
  }

  /**
   * Leaves as planned: takes nothing new, lets what runs finish, hands records over.
   *
   * @param load - tells how many requests are in progress
   * @param patienceMs - how long they may take, in milliseconds
   */
  async leave (load: () => number, patienceMs: number): Promise<void> {
    this.leaving = true
    const stopAt = this.clock.now() + patienceMs
    const { id } = this.roles.identity.member
    await Promise.race([this.roles.members.append({ step: 'leave', member: id }), this.clock.sleep(LEAVE_TIMEOUT_MS)])
    await this.clock.sleep(SPREAD_MS)
    this.open = false
    this.roles.owner.drain()
    while (load() > 0 && this.clock.now() < stopAt) await this.clock.sleep(DRAIN_PAUSE_MS)
    await this.rebalancing
    await this.roles.members.append({ step: 'gone', member: id })
  }

  private async join (recovers?: string): Promise<void> {
    const { configurations, members, identity } = this.roles
    while (!this.leaving) {
      const isRead = await configurations.poll()
      if (isRead && await members.append(step(identity.member, recovers))) break
      this.log.error('the table does not answer; not joined yet')
      await this.clock.sleep(JOIN_PAUSE_MS)
    }
    this.joined = !this.leaving
    this.log.info({ member: identity.member.id }, 'joined')
  }

  private async rejoin (): Promise<void> {
    if (this.renewing) return
    this.renewing = true
    this.joined = false
    this.log.warn('logged as failed by others; joining anew')
    const { id } = this.roles.identity.member
    const isHandedOver = await this.rebalancing
    this.roles.home.clear()
    this.roles.identity.renew(this.ports.peer, this.ports.caller)
    await this.join(isHandedOver ? id : undefined)
    this.renewing = false
  }
}

function step (member: Member, recovers: string | undefined): { step: 'join', member: Member, recovers?: string } {
  return recovers === undefined ? { step: 'join', member } : { step: 'join', member, recovers }
}
