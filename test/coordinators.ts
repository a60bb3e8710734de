import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { Ranking } from '../src/base/index.js'
import type { Stamped } from '../src/journal/index.js'
import { type Entry, Phase, View } from '../src/member/index.js'
import { type Copies, Home, type KeyRecord, RecordFailure } from '../src/record/index.js'

const RETENTION_MS = 900_000
/** A host that runs and is not cut off learns of an entry within this time, by the table or by others. */
const SPREAD_MS = 5_000
const CONTACT_MS = 3_000
/** A frozen host is logged as failed after this time. */
const DETECT_MS = 8_000
const STEP_MS = 1_000

/** A host in a test of homes: it knows the log up to its own revision. */
export class TestHost implements Copies {
  view = View.empty
  readonly home: Home
  isDead = false
  /** Calls to others wait until released: the host is frozen in the midst of them. */
  isFrozen = false
  frozenAt = 0
  /** When it last heard of others. */
  private contactAt = 0
  private thaw: Array<() => void> = []

  /**
   * @param id - the member's id
   * @param world - all hosts and the log
   */
  constructor (readonly id: string, private readonly world: World) {
    const isIsolated = (now: number): boolean => now - this.contactAt > CONTACT_MS
    const now = (): number => world.now
    this.home = new Home({ self: () => id, view: () => this.view, isIsolated, now }, this, RETENTION_MS)
  }

  /**
   * Reads on in the log.
   *
   * @param revision - as far as this
   */
  learn (revision: number): void {
    for (const stamped of this.world.log) {
      if (stamped.revision > revision || stamped.revision <= this.view.revision) continue
      const before = this.view
      this.view = this.view.apply(stamped, RETENTION_MS)
      void this.home.rebalance(before, this.view)
    }
  }

  /**
   * Lets the host hear of others, unless it is frozen.
   *
   * @param now - the present time
   */
  hear (now: number): void {
    if (this.isFrozen || this.isDead) return
    this.contactAt = now
    this.learn(this.world.log.filter(stamped => stamped.entry.at <= now - SPREAD_MS).length)
  }

  /** Freezes the host: its calls to others do not go out. */
  freeze (): void {
    this.isFrozen = true
    this.frozenAt = this.world.now
  }

  /** Goes on: calls that waited go out. */
  wake (): void {
    this.isFrozen = false
    for (const go of this.thaw) go()
    this.thaw = []
  }

  copy (member: string, record: KeyRecord): ResultAsync<KeyRecord, RecordFailure> {
    return this.reach(member).andThen((host): ResultAsync<KeyRecord, RecordFailure> => {
      host.learn(this.world.isTableUp ? this.view.revision : 0)
      const kept = host.home.keep(record, this.id, this.world.now)
      return kept === undefined || this.world.loses() ? errAsync(failure('refused')) : okAsync(kept)
    })
  }

  handover (member: string, records: readonly KeyRecord[]): ResultAsync<void, RecordFailure> {
    return this.reach(member).map(host => host.home.adopt(records))
  }

  recall (member: string, key: string): ResultAsync<KeyRecord | undefined, RecordFailure> {
    return this.reach(member).andThen((host): ResultAsync<KeyRecord | undefined, RecordFailure> => {
      if (this.world.isTableUp) host.learn(this.view.revision)
      return host.view.revision < this.view.revision ? errAsync(failure('refused')) : okAsync(host.home.find(key))
    })
  }

  /** Waits until the host is not frozen. */
  private go (): Promise<void> {
    return this.isFrozen ? new Promise(resolve => this.thaw.push(resolve)) : Promise.resolve()
  }

  private reach (member: string): ResultAsync<TestHost, RecordFailure> {
    const host = this.world.hosts.get(member)
    const ready = this.go().then(() => host?.go())
    return ResultAsync.fromSafePromise(ready).andThen((): ResultAsync<TestHost, RecordFailure> => {
      return host === undefined || host.isDead ? errAsync(failure('unreachable')) : okAsync(host)
    })
  }
}

function failure (code: 'refused' | 'unreachable'): RecordFailure {
  return new RecordFailure('RecordFailure', { code }, code)
}

/** All hosts of a test and the membership log. */
export class World {
  readonly hosts = new Map<string, TestHost>()
  readonly log: Array<Stamped<Entry>> = []
  isTableUp = true
  /** Answers of copies to lose next. */
  toLose = 0
  now = 1_000_000

  /** @param size - how many hosts there are at first */
  constructor (size: number) {
    for (let i = 0; i < size; i++) this.join()
    for (const host of this.hosts.values()) host.learn(this.revision)
    this.pass(60_000)
  }

  /**
   * Moves time on.
   *
   * @param ms - by how much
   */
  pass (ms: number): void {
    for (let rest = ms; rest > 0; rest -= STEP_MS) this.step(Math.min(rest, STEP_MS))
  }

  private step (ms: number): void {
    this.now += ms
    for (const host of this.hosts.values()) {
      if (host.isFrozen && this.now - host.frozenAt > DETECT_MS && this.latest.members.has(host.id)) this.fail(host.id)
    }
    for (const host of this.hosts.values()) host.hear(this.now)
  }

  /** The latest revision of the log. */
  get revision (): number {
    return this.log.length
  }

  /**
   * Adds a host that becomes home of a key. Only it knows so at first.
   *
   * @param key - the key
   */
  joinAhead (key: string): void {
    const ids = this.latest.members.keys()
    const taken = [...ids]
    for (let n = 0; ; n++) {
      const id = `ahead-${this.hosts.size}-${n}`
      if (new Ranking([...taken, id]).first(key) === id) return this.join(id)
    }
  }

  /** The view that the whole log makes. */
  get latest (): View {
    return this.log.reduce((view, stamped) => view.apply(stamped, RETENTION_MS), View.empty)
  }

  /**
   * Adds a host. Only it knows so at first.
   *
   * @param id - its id
   */
  join (id: string = `host-${this.hosts.size}`): void {
    const host = new TestHost(id, this)
    this.hosts.set(id, host)
    const member = { id, host: id, dataCentre: 'dc', peerAddress: '', callerAddress: '', phase: Phase.live }
    this.append({ step: 'join', member, id: `join-${id}`, by: id, at: this.now })
    host.learn(this.revision)
  }

  /**
   * Logs that a host failed, whether it is dead or not.
   *
   * @param id - the host
   */
  fail (id: string): void {
    this.append({ step: 'fail', member: id, id: `fail-${id}`, by: 'test', at: this.now })
  }

  /** @returns whether the next answer of a copy is lost */
  loses (): boolean {
    if (this.toLose === 0) return false
    this.toLose--
    return true
  }

  private append (entry: Entry): void {
    this.log.push({ revision: this.log.length + 1, entry })
  }
}
