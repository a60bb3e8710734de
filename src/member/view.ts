import { Ranking } from '../base/index.js'
import type { Stamped } from '../journal/index.js'
import type { Entry } from './entry.js'
import { type Member, Phase } from './member.js'

/** How many members hold the record of a key. */
export const HOLDERS = 2

/**
 * How long records take to reach their new holders after a change, in
 * milliseconds: until a frozen holder is found out, and a sound one has learned
 * of the change and handed its records over.
 */
export const SETTLE_MS = 15_000

/** A ranking that was in force until a change. */
interface Past {
  readonly until: number
  readonly ranking: Ranking
}

/** A member found dead, and the rankings that may still have counted on it. */
interface Loss {
  readonly at: number
  readonly member: string
  readonly before: readonly Ranking[]
}

interface State {
  readonly revision: number
  readonly members: ReadonlyMap<string, Member>
  readonly past: readonly Past[]
  readonly losses: readonly Loss[]
}

/**
 * Who is there, as of one revision of the membership log: an immutable value
 * that log entries are applied to. Hosts at the same revision agree on the
 * home of each key and the owner of each backend server.
 */
export class View {
  /** The view before any entry. */
  static readonly empty = new View({ revision: 0, members: new Map(), past: [], losses: [] })

  readonly revision: number
  readonly members: ReadonlyMap<string, Member>
  /** The members that take new work. */
  readonly ranking: Ranking
  private readonly past: readonly Past[]
  private readonly losses: readonly Loss[]

  private constructor (state: State) {
    this.revision = state.revision
    this.members = state.members
    this.past = state.past
    this.losses = state.losses
    this.ranking = new Ranking([...state.members.values()]
      .filter(member => member.phase === Phase.live).map(member => member.id))
  }

  /**
   * Applies the next entry of the log.
   *
   * @param stamped - the entry with its revision
   * @param retentionMs - how long losses matter, in milliseconds
   * @returns the view after it; the same view for an entry already applied
   */
  apply (stamped: Stamped<Entry>, retentionMs: number): View {
    const { revision, entry } = stamped
    if (revision <= this.revision) return this
    const members = new Map(this.members)
    let losses = this.losses
    if (entry.step === 'join') {
      members.set(entry.member.id, entry.member)
      losses = losses.filter(loss => loss.member !== entry.recovers)
    } else if (entry.step === 'leave') {
      const member = members.get(entry.member)
      if (member !== undefined) members.set(member.id, { ...member, phase: Phase.leaving })
    } else if (members.delete(entry.member) && entry.step === 'fail') {
      const recent = this.past.filter(past => past.until > entry.at - SETTLE_MS).map(past => past.ranking)
      losses = [...losses, { at: entry.at, member: entry.member, before: [this.ranking, ...recent] }]
    }
    return new View({
      revision,
      members,
      past: [...this.past, { until: entry.at, ranking: this.ranking }].filter(p => p.until > entry.at - SETTLE_MS),
      losses: losses.filter(loss => loss.at > entry.at - retentionMs)
    })
  }

  /**
   * @param key - a request's key
   * @returns the ids of the members that hold its record, the home first
   */
  holders (key: string): string[] {
    return this.ranking.top(key, HOLDERS)
  }

  /**
   * Lists members outside the present holders that may hold a key's record
   * because it was theirs until shortly before.
   *
   * @param key - a request's key
   * @param now - the present time, in milliseconds since the epoch
   * @returns the ids of members that are still there
   */
  formerHolders (key: string, now: number): string[] {
    const present = this.holders(key)
    const former = this.past.filter(past => past.until > now - SETTLE_MS)
      .flatMap(past => past.ranking.top(key, HOLDERS))
    return [...new Set(former)].filter(id => this.members.has(id) && !present.includes(id))
  }

  /**
   * Tells whether every holder of a key's record may have died before the
   * record reached another. An absent record then proves nothing.
   *
   * @param key - a request's key
   * @param born - when the key was made, if that is known, in milliseconds since the epoch
   * @returns whether the record may be lost
   */
  mayBeLost (key: string, born: number | undefined): boolean {
    const losses = this.losses.filter(loss => born === undefined || born <= loss.at + SETTLE_MS)
    return losses.some(loss => loss.before.some(ranking => {
      const holders = ranking.top(key, HOLDERS)
      return holders.includes(loss.member) && holders.every(holder => this.diedNear(holder, loss.at))
    }))
  }

  /**
   * @param server - a backend server's name
   * @returns the id of the member that owns it, or undefined if none takes work
   */
  ownerOf (server: string): string | undefined {
    return this.ranking.first(server)
  }

  /**
   * @param id - a member's id
   * @returns whether the member takes new work
   */
  isLive (id: string): boolean {
    return this.members.get(id)?.phase === Phase.live
  }

  private diedNear (id: string, at: number): boolean {
    return this.losses.some(loss => loss.member === id && Math.abs(loss.at - at) <= SETTLE_MS)
  }
}
