import type { Clock } from '../base/index.js'
import { PROBE_TIMEOUT_MS, type ProbeAction } from '../member/index.js'
import * as pb from '../peer/index.js'
import type { ReplicatedLog } from './log.js'
import type { MembershipLog } from './memberlog.js'

/** Time-out of an indirect probe, which includes the probe that the other host sends, in milliseconds. */
const INDIRECT_PROBE_TIMEOUT_MS = 2 * PROBE_TIMEOUT_MS

/** Number of consecutive unanswered probes after which the connection to the member is reset. */
const MAX_CONSECUTIVE_MISSES = 3

/** Probes the members that this host monitors. Probes and replies carry the revisions of the replicated logs. */
export class Heartbeat {
  /** Logs whose missing entries are being fetched from another host. */
  private readonly logsBeingFetched = new Set<pb.Log>()
  /** Number of consecutive unanswered probes by member. */
  private readonly consecutiveMisses = new Map<string, number>()

  /**
   * @param self - returns this member's id
   * @param peers - connections to the other hosts
   * @param membershipLog - the membership log
   * @param configurationLog - the configuration log
   * @param clock - source of the time for failure detection
   */
  constructor (
    private readonly self: () => string,
    private readonly peers: pb.Peers,
    private readonly membershipLog: MembershipLog,
    private readonly configurationLog: ReplicatedLog,
    private readonly clock: Clock
  ) {}

  /** Runs one round: probes the monitored members and requests indirect probes of the suspected ones. */
  async runRound (): Promise<void> {
    await Promise.all(this.membershipLog.failureDetector.nextProbes(this.clock.now())
      .map(async action => await this.perform(action)))
  }

  /** Probes the monitored members at once, so that a new revision reaches them before the next round. */
  announceRevisions (): void {
    const probes = this.membershipLog.failureDetector.nextProbes(this.clock.now())
      .filter(action => action.action === 'probe')
    for (const action of probes) void this.perform(action)
  }

  /**
   * Compares another host's revisions with this host's, and fetches the missing entries if it has later ones.
   *
   * @param member - the other host's member id
   * @param memberRevision - its revision of the membership log
   * @param configRevision - its revision of the configuration log
   */
  handleRevisions (member: string, memberRevision: number, configRevision: number): void {
    if (memberRevision > this.membershipLog.revision) void this.fetchMissingEntries(pb.Log.MEMBERS, member)
    if (configRevision > this.configurationLog.revision) void this.fetchMissingEntries(pb.Log.CONFIG, member)
  }

  /**
   * @param member - a member's id
   * @returns whether the member answers a probe of this host
   */
  async canReach (member: string): Promise<boolean> {
    return (await this.probe(member)) !== undefined
  }

  private async perform (action: ProbeAction): Promise<void> {
    if (action.action === 'probe') {
      const reply = await this.probe(action.member)
      this.recordProbeResult(action.member, reply !== undefined)
      if (reply === undefined) return
      this.membershipLog.failureDetector.recordContact(action.member, this.clock.now())
      this.handleRevisions(action.member, reply.memberRevision, reply.configRevision)
    } else {
      await this.probeIndirectly(action.member, action.probers)
    }
  }

  /** Resets the connection to a member after {@link MAX_CONSECUTIVE_MISSES} unanswered probes. */
  private recordProbeResult (member: string, isAnswered: boolean): void {
    const missed = isAnswered ? 0 : (this.consecutiveMisses.get(member) ?? 0) + 1
    if (missed === 0) this.consecutiveMisses.delete(member)
    else this.consecutiveMisses.set(member, missed)
    if (missed < MAX_CONSECUTIVE_MISSES) return
    this.consecutiveMisses.delete(member)
    this.peers.reset(member)
  }

  private async probe (member: string): Promise<pb.ProbeResponse | undefined> {
    const callee = this.membershipLog.view.members.get(member)
    if (callee === undefined) return undefined
    const memberRevision = this.membershipLog.revision
    const configRevision = this.configurationLog.revision
    const value = { member: this.self(), memberRevision, configRevision }
    const reply = await this.peers.callOverLink(callee, { case: 'probe', value }, PROBE_TIMEOUT_MS)
    if (reply.isErr() || reply.value.case !== 'probeReply') return undefined
    // After a restart, another member may answer at the same address.
    return reply.value.value.member === member ? reply.value.value : undefined
  }

  private async probeIndirectly (member: string, probers: readonly string[]): Promise<void> {
    const replies = await Promise.all(probers.map(async prober => {
      const callee = this.membershipLog.view.members.get(prober)
      if (callee === undefined) return undefined
      const reply = await this.peers
        .call(callee, async (client, options) => await client.vouch({ member }, options), INDIRECT_PROBE_TIMEOUT_MS)
      return reply.isOk() ? reply.value.reached : undefined
    }))
    const answered = replies.filter(reached => reached !== undefined)
    await this.membershipLog.logFailureIfDead(
      member, { answered: answered.length, reached: answered.filter(Boolean).length })
  }

  private async fetchMissingEntries (kind: pb.Log, member: string): Promise<void> {
    const log: ReplicatedLog = kind === pb.Log.MEMBERS ? this.membershipLog : this.configurationLog
    const callee = this.membershipLog.view.members.get(member)
    if (callee === undefined || this.logsBeingFetched.has(kind)) return
    this.logsBeingFetched.add(kind)
    const message = { log: kind, since: log.revision }
    const reply = await this.peers.call(callee, async (client, options) => await client.entries(message, options))
    this.logsBeingFetched.delete(kind)
    if (reply.isOk()) log.receive(reply.value.entries)
  }
}
