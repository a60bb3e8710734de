import { Ranking } from '../base/index.js'
import type { Revisioned } from '../journal/index.js'
import type { MembershipEntry } from './entry.js'
import { type Member, Phase } from './member.js'

/** How many members store each idempotency record, the key coordinator included. */
export const REPLICAS_PER_KEY = 2

/**
 * Upper bound of the time until records are at their new replicas after a
 * membership change, in milliseconds. It covers the detection of a frozen
 * replica, and the time that a working one takes to receive the change and
 * to transfer its records.
 */
export const REBALANCE_SETTLE_MS = 15_000

/** A ranking that was in force until a membership change. */
interface PastRanking {
  /** When it was replaced, in milliseconds since the epoch. */
  readonly until: number
  readonly ranking: Ranking
}

/** A member that was logged as failed. */
interface MemberFailure {
  /** When it was logged, in milliseconds since the epoch. */
  readonly failedAt: number
  readonly member: string
  /** The rankings by which the member may have been a replica when it failed. */
  readonly rankings: readonly Ranking[]
}

interface ViewState {
  readonly revision: number
  readonly members: ReadonlyMap<string, Member>
  readonly pastRankings: readonly PastRanking[]
  readonly failures: readonly MemberFailure[]
}

/**
 * The membership view: the members as of one revision of the membership log.
 * A view is immutable; applying a log entry returns a new one. Hosts at the
 * same revision agree on the coordinator of each key and the owner of each
 * backend server.
 */
export class MembershipView {
  /** The view of an empty log. */
  static readonly empty = new MembershipView({ revision: 0, members: new Map(), pastRankings: [], failures: [] })

  /** The revision of the last entry that was applied; 0 if there is none. */
  readonly revision: number
  /** All members by id, those that are leaving included. */
  readonly members: ReadonlyMap<string, Member>
  /** Ranks the members that accept new work. */
  readonly ranking: Ranking
  private readonly pastRankings: readonly PastRanking[]
  private readonly failures: readonly MemberFailure[]

  private constructor (state: ViewState) {
    this.revision = state.revision
    this.members = state.members
    this.pastRankings = state.pastRankings
    this.failures = state.failures
    this.ranking = new Ranking([...state.members.values()]
      .filter(member => member.phase === Phase.live).map(member => member.id))
  }

  /**
   * Applies the next entry of the log.
   *
   * @param next - the entry with its revision
   * @param retentionMs - how long failures are remembered, in milliseconds
   * @returns the view after the entry; the same view if the entry was already applied
   */
  apply (next: Revisioned<MembershipEntry>, retentionMs: number): MembershipView {
    const { revision, entry } = next
    if (revision <= this.revision) return this
    const members = new Map(this.members)
    let failures = this.failures
    if (entry.step === 'join') {
      members.set(entry.member.id, entry.member)
      failures = failures.filter(failure => failure.member !== entry.recovers)
    } else if (entry.step === 'leave') {
      const member = members.get(entry.member)
      if (member !== undefined) members.set(member.id, { ...member, phase: Phase.leaving })
    } else if (members.delete(entry.member) && entry.step === 'fail') {
      const recent = this.pastRankings.filter(past => past.until > entry.at - REBALANCE_SETTLE_MS)
        .map(past => past.ranking)
      failures = [...failures, { failedAt: entry.at, member: entry.member, rankings: [this.ranking, ...recent] }]
    }
    return new MembershipView({
      revision,
      members,
      pastRankings: [...this.pastRankings, { until: entry.at, ranking: this.ranking }]
        .filter(past => past.until > entry.at - REBALANCE_SETTLE_MS),
      failures: failures.filter(failure => failure.failedAt > entry.at - retentionMs)
    })
  }

  /**
   * @param key - a request's idempotency key
   * @returns the ids of the members that store its record, the key coordinator first
   */
  replicas (key: string): string[] {
    return this.ranking.top(key, REPLICAS_PER_KEY)
  }

  /**
   * Lists members that may still store a key's record because they were its
   * replicas until a recent membership change. Current replicas are left out.
   *
   * @param key - a request's idempotency key
   * @param now - the current time, in milliseconds since the epoch
   * @returns the ids of those that are still members
   */
  formerReplicas (key: string, now: number): string[] {
    const current = this.replicas(key)
    const former = this.pastRankings.filter(past => past.until > now - REBALANCE_SETTLE_MS)
      .flatMap(past => past.ranking.top(key, REPLICAS_PER_KEY))
    return [...new Set(former)].filter(id => this.members.has(id) && !current.includes(id))
  }

  /**
   * Tells whether all replicas of a key's record may have failed before the
   * record was copied to another member. If so, the absence of a record does
   * not show that the key was never used.
   *
   * @param key - a request's idempotency key
   * @param createdAt - when the key was created, in milliseconds since the epoch; undefined if that is not known
   * @returns whether the record may be lost
   */
  mayHaveLostRecord (key: string, createdAt: number | undefined): boolean {
    const failures = this.failures
      .filter(failure => createdAt === undefined || createdAt <= failure.failedAt + REBALANCE_SETTLE_MS)
    return failures.some(failure => failure.rankings.some(ranking => {
      const replicas = ranking.top(key, REPLICAS_PER_KEY)
      return replicas.includes(failure.member) &&
        replicas.every(replica => this.hasFailedAround(replica, failure.failedAt))
    }))
  }

  /**
   * @param server - a backend server's name
   * @returns the id of the member that owns it, or undefined if no member accepts new work
   */
  ownerOf (server: string): string | undefined {
    return this.ranking.first(server)
  }

  /**
   * @param id - a member's id
   * @returns whether the member accepts new work
   */
  isLive (id: string): boolean {
    return this.members.get(id)?.phase === Phase.live
  }

  /** Tells whether a member failed so close to a time that records may not have been copied in between. */
  private hasFailedAround (id: string, time: number): boolean {
    return this.failures
      .some(failure => failure.member === id && Math.abs(failure.failedAt - time) <= REBALANCE_SETTLE_MS)
  }
}
