import { describe, it } from 'node:test'
import { create } from '@bufbuild/protobuf'
import { expect } from 'earl'
import * as fc from 'fast-check'
import { Gossip } from '../src/dispatch/index.js'
import { StandingSchema } from '../src/dispatch/dispatch_pb.js'
import { Feeds } from '../src/dispatch/feeds.js'
import { StoreCheck } from '../src/dispatch/storecheck.js'
import { Replica, revisionOf, type Row } from '../src/store/index.js'
import { fuzzParameters } from './fuzzparameters.js'
import { ManualClock } from './time.js'

/** Interval at which a scheduler feeds the hosts that use it, in milliseconds. */
const FEED_INTERVAL_MS = 1_000

/** The users' time within which a change of the configuration takes effect in their large deployments. */
const CONFIG_APPLY_MS = 3_000

/** Numbers of hosts in the users' deployments, and in the aim. */
const FLEETS = [65, 73, 107, 195, 1_800]

function countFollowing (memberCount: number, feedAgeMs: number, storeAgeMs: number): number {
  const now = 100_000
  let following = 0
  for (let rank = 1; rank < memberCount; rank++) {
    const check = new StoreCheck()
    check.setMembers(rank, memberCount)
    check.recordFeed(now - feedAgeMs)
    check.record(storeAgeMs, now)
    if (!check.isFollowingLeftToOthers(now)) following++
  }
  return following
}

describe('the hosts that follow the store', () => {
  // Guards against calls to the store that grow with the number of hosts.
  it('are as many in each large deployment, while their scheduler feeds the others', () => {
    const counts = FLEETS.map(count => countFollowing(count, FEED_INTERVAL_MS, 0))
    expect(new Set(counts).size).toEqual(1)
    expect(counts[0]! < 10).toEqual(true)
  })

  it('are all of them in a small deployment, or if no scheduler feeds them', () => {
    expect(countFollowing(7, FEED_INTERVAL_MS, 0)).toEqual(6)
    expect(countFollowing(195, CONFIG_APPLY_MS, 0)).toEqual(194)
  })

  // Guards against changes that no host sees, since the store turns away the few hosts that follow it.
  it('become more while the store does not respond to the scheduler, but not all of them', () => {
    const counts = [2_000, 3_000, 4_000, 5_000, 60_000].map(ageMs => countFollowing(195, FEED_INTERVAL_MS, ageMs))
    expect(counts).toEqual([...counts].sort((a, b) => a - b))
    expect(counts[1]! > counts[0]!).toEqual(true)
    expect(counts.at(-1)! < 195 / 2).toEqual(true)
  })
})

/** One step of a random history of a table. */
interface Step {
  readonly key: number
  readonly kind: 'change' | 'heartbeat' | 'remove' | 'new era' | 'list' | 'feed' | 'lose'
}

/** A host's copy of a table whose rows hold a state and a counter that each heartbeat raises. */
class View {
  readonly states = new Map<string, string>()
  readonly replica = new Replica('t', row => this.apply(row))
  readonly gossip: Gossip

  constructor (clock: ManualClock) {
    this.gossip = new Gossip([this.replica], clock, () => undefined)
  }

  private apply ({ key, value }: Row): boolean {
    const state = value?.toString().split(' ')[0]
    const known = this.states.get(key)
    if (state === undefined) this.states.delete(key)
    else this.states.set(key, state)
    return known !== state
  }
}

/** A store with one table, a scheduler that follows it and a host that the scheduler feeds. */
class FedHost {
  private readonly clock = new ManualClock()
  private readonly scheduler = new View(this.clock)
  private readonly host = new View(this.clock)
  private readonly rows = new Map<string, Row>()
  private era = 1
  private version = 0
  private fedRevisions: readonly number[] = []

  constructor () {
    this.host.gossip.isFed = true
  }

  take ({ key, kind }: Step): void {
    const known = this.rows.get(`k${key}`)
    if (kind === 'change') this.write(`k${key}`, `s${this.version}`)
    else if (kind === 'heartbeat' && known?.value !== undefined) this.write(`k${key}`, known.value.toString().split(' ')[0]!)
    else if (kind === 'remove') this.write(`k${key}`, undefined)
    else if (kind === 'new era') this.startEra()
    else if (kind === 'list') this.list()
    else if (kind === 'feed') this.feed(true)
    else if (kind === 'lose') this.feed(false)
  }

  /** Returns the states that the scheduler and the host know after the host has stated what it has. */
  settle (): Array<Array<[string, string]>> {
    this.fedRevisions = this.host.gossip.versionVector().revisions
    this.feed(true)
    return [this.scheduler, this.host].map(({ states }) => [...states].sort())
  }

  private write (key: string, state: string | undefined): void {
    const revision = revisionOf(this.era, ++this.version)
    const value = state === undefined ? undefined : Buffer.from(`${state} ${this.version}`)
    const row = { table: 't', key, value, revision }
    this.rows.set(key, row)
    this.scheduler.replica.apply(row, this.clock.now())
  }

  /** The store returns from a copy, in which each row is written again, and the scheduler lists it. */
  private startEra (): void {
    this.era++
    this.version = 0
    for (const [key, row] of this.rows) {
      if (row.value === undefined) this.rows.delete(key)
      else this.rows.set(key, { ...row, revision: revisionOf(this.era, ++this.version) })
    }
    this.list()
  }

  private list (): void {
    const rows = [...this.rows.values()].filter(({ value }) => value !== undefined)
    this.scheduler.replica.applyTable(rows, revisionOf(this.era, this.version), this.clock.now())
  }

  private feed (arrives: boolean): void {
    const news = this.scheduler.gossip.changesSince(this.fedRevisions)
    this.fedRevisions = news.standing!.revisions
    if (arrives) this.host.gossip.applyRows(news)
    // A lost feed means a lost link, after which the host states again what it has.
    else this.fedRevisions = this.host.gossip.versionVector().revisions
  }
}

describe('a host that its scheduler feeds', () => {
  // Guards against rows that a feed skips: lists come in another order than changes, and eras begin in between.
  it('knows the same states as the scheduler, whatever happens in between', () => {
    const kinds = ['change', 'heartbeat', 'remove', 'new era', 'list', 'feed', 'lose'] as const
    const steps = fc.array(fc.record({ key: fc.nat(4), kind: fc.constantFrom(...kinds) }), { maxLength: 40 })
    fc.assert(fc.property(steps, history => {
      const fedHost = new FedHost()
      history.forEach(step => fedHost.take(step))
      const [known, fed] = fedHost.settle()
      expect(fed).toEqual(known!)
    }), fuzzParameters(300))
  })

  // Guards against a feed for each ping: under load, each of hundreds of hosts pings several times a second.
  it('is fed at a ping only if it lacks something', () => {
    const scheduler = new View(new ManualClock())
    scheduler.replica.apply({ table: 't', key: 'k', value: Buffer.from('ready 1'), revision: 1 }, 0)
    let feeds = 0
    const host = new Feeds(scheduler.gossip, () => feeds++)
    const ping = (revision: number): void => host.resume('h', create(StandingSchema, { revisions: [revision] }))
    ping(0)
    ping(1)
    ping(1)
    expect(feeds).toEqual(1)
    ping(0)
    expect(feeds).toEqual(2)
  })

  // Guards against feeds that carry each heartbeat of each server to each host.
  it('gets no heartbeats', () => {
    const scheduler = new View(new ManualClock())
    const row = { table: 't', key: 'k', value: Buffer.from('ready 1'), revision: 1 }
    scheduler.replica.apply(row, 0)
    scheduler.replica.apply({ ...row, value: Buffer.from('ready 2'), revision: 2 }, 0)
    const news = scheduler.gossip.changesSince([1])
    expect([news.rows.length, news.standing!.revisions]).toEqual([0, [2]])
  })
})
