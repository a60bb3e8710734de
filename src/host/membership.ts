import type Logger from 'bunyan'
import { type Clock } from '../base/index.js'
import type { Member, MembershipView } from '../member/index.js'
import type { Components } from './components.js'

const JOIN_RETRY_DELAY_MS = 1_000
/** Time allowed for a new view to reach the other hosts, in milliseconds. */
const VIEW_PROPAGATION_MS = 1_500
/** Time-out of appending the leave step, after which the host stops without it, in milliseconds. */
const LEAVE_TIMEOUT_MS = 1_500
const DRAIN_POLL_PERIOD_MS = 200

/** The ports that a host listens on. */
export interface Ports {
  readonly peer: number
  readonly caller: number
}

/** Joins the host to the membership, rejoins after others have logged it as failed, and leaves on a planned stop. */
export class HostMembership {
  private hasJoined = false
  private leaving = false
  private acceptsRequests = true
  private isRejoining = false
  private ports: Ports = { peer: 0, caller: 0 }
  /** Whether the latest transfer of records reached all new replicas. */
  private lastTransfer: Promise<boolean> = Promise.resolve(true)

  /**
   * @param components - the host's components
   * @param clock - source of the time and of delays
   * @param log - the logger of the process
   */
  constructor (private readonly components: Components, private readonly clock: Clock, private readonly log: Logger) {}

  /** Whether the load balancer may send new requests. */
  get isReady (): boolean {
    return this.hasJoined && !this.leaving
  }

  /**
   * Whether new requests are accepted. A leaving host accepts them until the other hosts have had time to receive
   * the new view.
   */
  get isOpen (): boolean {
    return this.acceptsRequests
  }

  /** Whether a planned stop has begun. */
  get isLeaving (): boolean {
    return this.leaving
  }

  /**
   * Joins the membership; retries until the table answers or the host leaves.
   *
   * @param ports - the ports that the host listens on
   */
  async start (ports: Ports): Promise<void> {
    this.ports = ports
    this.components.identity.renew(ports.peer, ports.caller)
    await this.join()
  }

  /**
   * Handles a change of the view: transfers records, and rejoins if this host was logged as failed.
   *
   * @param before - the previous view
   * @param after - the new view
   */
  handleViewChange (before: MembershipView, after: MembershipView): void {
    const { id } = this.components.identity.member
    this.lastTransfer = this.components.coordinator.rebalance(before, after).then(result => {
      if (result.isErr()) this.log.warn({ err: result.error }, 'could not transfer idempotency records')
      return result.isOk()
    })
    if (before.members.has(id) && !after.members.has(id) && !this.leaving) void this.rejoin()
  }

  /**
   * Leaves gracefully: rejects new requests, waits for those in progress, and transfers records.
   *
   * @param countRequests - returns the number of requests in progress
   * @param timeoutMs - how long to wait for them, in milliseconds
   */
  async leave (countRequests: () => number, timeoutMs: number): Promise<void> {
    this.leaving = true
    const deadline = this.clock.now() + timeoutMs
    const { id } = this.components.identity.member
    await Promise.race([
      this.components.membershipLog.append({ step: 'leave', member: id }), this.clock.sleep(LEAVE_TIMEOUT_MS)
    ])
    await this.clock.sleep(VIEW_PROPAGATION_MS)
    this.acceptsRequests = false
    this.components.owner.drain()
    while (countRequests() > 0 && this.clock.now() < deadline) await this.clock.sleep(DRAIN_POLL_PERIOD_MS)
    await this.lastTransfer
    await this.components.membershipLog.append({ step: 'gone', member: id })
  }

  private async join (recovers?: string): Promise<void> {
    const { configurationLog, membershipLog, identity } = this.components
    while (!this.leaving) {
      const hasTableAnswered = await configurationLog.poll()
      if (hasTableAnswered && await membershipLog.append(createJoinDraft(identity.member, recovers))) break
      this.log.error('the table does not answer; not joined yet')
      await this.clock.sleep(JOIN_RETRY_DELAY_MS)
    }
    this.hasJoined = !this.leaving
    this.log.info({ member: identity.member.id }, 'joined')
  }

  private async rejoin (): Promise<void> {
    if (this.isRejoining) return
    this.isRejoining = true
    this.hasJoined = false
    this.log.warn('other hosts logged this host as failed; rejoining')
    const { id } = this.components.identity.member
    const isTransferred = await this.lastTransfer
    this.components.coordinator.clear()
    this.components.identity.renew(this.ports.peer, this.ports.caller)
    await this.join(isTransferred ? id : undefined)
    this.isRejoining = false
  }
}

function createJoinDraft (
  member: Member, recovers: string | undefined
): { step: 'join', member: Member, recovers?: string } {
  return recovers === undefined ? { step: 'join', member } : { step: 'join', member, recovers }
}
