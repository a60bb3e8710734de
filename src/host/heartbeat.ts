import type { Clock } from '../base/index.js'
import { type Action, PROBE_TIMEOUT_MS } from '../member/index.js'
import * as pb from '../peer/index.js'
import type { Log } from './log.js'
import type { Members } from './members.js'

/** How long a voucher may take, its own probe included, in milliseconds. */
const VOUCH_TIMEOUT_MS = 2 * PROBE_TIMEOUT_MS

/** Probes left unanswered in a row after which the connection is broken. */
const MISSES_TO_RESET = 3

/** Probes the members that this host watches, and spreads revisions on the way. */
export class Heartbeat {
  /** Logs that are being read from a host that is ahead. */
  private readonly catching = new Set<pb.Log>()
  /** How many probes in a row each member left unanswered. */
  private readonly missed = new Map<string, number>()

  /**
   * @param self - this member's id
   * @param peers - connections to the others
   * @param members - the membership log
   * @param configurations - the configuration log
   * @param clock - the present time
   */
  constructor (
    private readonly self: () => string,
    private readonly peers: pb.Peers,
    private readonly members: Members,
    private readonly configurations: Log,
    private readonly clock: Clock
  ) {}

  /** Does one round: probes, and asks about suspects. */
  async beat (): Promise<void> {
    await Promise.all(this.members.watch.act(this.clock.now()).map(async action => await this.perform(action)))
  }

  /** Tells the watched members of a new revision at once, so that it spreads faster than by rounds. */
  spread (): void {
    const probes = this.members.watch.act(this.clock.now()).filter(action => action.action === 'probe')
    for (const action of probes) void this.perform(action)
  }

  /**
   * Takes note of another host's revisions, and catches up if it is ahead.
   *
   * @param member - the other
   * @param memberRevision - its revision of the membership log
   * @param configRevision - its revision of the configuration log
   */
  told (member: string, memberRevision: number, configRevision: number): void {
    if (memberRevision > this.members.revision) void this.catchUp(pb.Log.MEMBERS, member)
    if (configRevision > this.configurations.revision) void this.catchUp(pb.Log.CONFIG, member)
  }

  /**
   * @param member - a member's id
   * @returns whether this host reaches the member now
   */
  async reaches (member: string): Promise<boolean> {
    return (await this.probe(member)) !== undefined
  }

  private async perform (action: Action): Promise<void> {
    if (action.action === 'probe') {
      const reply = await this.probe(action.member)
      this.count(action.member, reply !== undefined)
      if (reply === undefined) return
      this.members.watch.hear(action.member, this.clock.now())
      this.told(action.member, reply.memberRevision, reply.configRevision)
    } else {
      await this.confirm(action.member, action.vouchers)
    }
  }

  /** Breaks the connection to a member that left several probes in a row unanswered. */
  private count (member: string, isAnswered: boolean): void {
    const missed = isAnswered ? 0 : (this.missed.get(member) ?? 0) + 1
    if (missed === 0) this.missed.delete(member)
    else this.missed.set(member, missed)
    if (missed < MISSES_TO_RESET) return
    this.missed.delete(member)
    this.peers.reset(member)
  }

  private async probe (member: string): Promise<pb.ProbeResponse | undefined> {
    const callee = this.members.view.members.get(member)
    if (callee === undefined) return undefined
    const memberRevision = this.members.revision
    const configRevision = this.configurations.revision
    const value = { member: this.self(), memberRevision, configRevision }
    const reply = await this.peers.ask(callee, { case: 'probe', value }, PROBE_TIMEOUT_MS)
    if (reply.isErr() || reply.value.case !== 'probeReply') return undefined
    // A restarted process may answer at the address of the one before.
    return reply.value.value.member === member ? reply.value.value : undefined
  }

  private async confirm (member: string, vouchers: readonly string[]): Promise<void> {
    const replies = await Promise.all(vouchers.map(async voucher => {
      const callee = this.members.view.members.get(voucher)
      if (callee === undefined) return undefined
      const reply = await this.peers
        .call(callee, async (client, options) => await client.vouch({ member }, options), VOUCH_TIMEOUT_MS)
      return reply.isOk() ? reply.value.reached : undefined
    }))
    const answered = replies.filter(reached => reached !== undefined)
    await this.members.judge(member, { answered: answered.length, reached: answered.filter(Boolean).length })
  }

  private async catchUp (which: pb.Log, member: string): Promise<void> {
    const log: Log = which === pb.Log.MEMBERS ? this.members : this.configurations
    const callee = this.members.view.members.get(member)
    if (callee === undefined || this.catching.has(which)) return
    this.catching.add(which)
    const message = { log: which, since: log.revision }
    const reply = await this.peers.call(callee, async (client, options) => await client.entries(message, options))
    this.catching.delete(which)
    if (reply.isOk()) log.receive(reply.value.entries)
  }
}
