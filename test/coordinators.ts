import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { Ranking } from '../src/base/index.js'
import type { Revisioned } from '../src/journal/index.js'
import { type MembershipEntry, MembershipView, Phase } from '../src/member/index.js'
import { KeyCoordinator, type KeyRecord, RecordFailure, type Replicas } from '../src/record/index.js'

const RETENTION_MS = 900_000
/** Time within which a running, connected host receives a log entry, from the table or from other hosts. */
const LOG_PROPAGATION_MS = 5_000
const ISOLATION_TIMEOUT_MS = 3_000
/** Time after which a frozen host is logged as failed. */
const FAILURE_DETECTION_MS = 8_000
const TICK_MS = 1_000

/** A simulated host. It has applied the membership log up to the revision of its own view. */
export class TestHost implements Replicas {
  view = MembershipView.empty
  readonly coordinator: KeyCoordinator
  isDead = false
  /** Whether calls to other hosts are held back, as if the process had been suspended during them. */
  isFrozen = false
  frozenAt = 0
  /** When the host last had contact with other hosts. */
  private lastContactAt = 0
  private resumeCallbacks: Array<() => void> = []

  /**
   * @param id - the member's id
   * @param cluster - the cluster that the host belongs to
   */
  constructor (readonly id: string, private readonly cluster: TestCluster) {
    const isIsolated = (now: number): boolean => now - this.lastContactAt > ISOLATION_TIMEOUT_MS
    const now = (): number => cluster.now
    this.coordinator = new KeyCoordinator(
      { self: () => id, view: () => this.view, isIsolated, now }, this, RETENTION_MS
    )
  }

  /**
   * Applies the entries of the membership log that the host does not have yet.
   *
   * @param revision - the last revision to apply
   */
  applyLog (revision: number): void {
    for (const logged of this.cluster.log) {
      if (logged.revision > revision || logged.revision <= this.view.revision) continue
      const previousView = this.view
      this.view = this.view.apply(logged, RETENTION_MS)
      void this.coordinator.rebalance(previousView, this.view)
    }
  }

  /**
   * Records contact with other hosts and applies the log entries that have reached this host, unless it is frozen.
   *
   * @param now - the current time, in milliseconds since the epoch
   */
  receiveUpdates (now: number): void {
    if (this.isFrozen || this.isDead) return
    this.lastContactAt = now
    this.applyLog(this.cluster.log.filter(logged => logged.entry.at <= now - LOG_PROPAGATION_MS).length)
  }

  /** Freezes the host: its calls to other hosts are held back. */
  freeze (): void {
    this.isFrozen = true
    this.frozenAt = this.cluster.now
  }

  /** Resumes the host and sends the calls that were held back. */
  resume (): void {
    this.isFrozen = false
    for (const callback of this.resumeCallbacks) callback()
    this.resumeCallbacks = []
  }

  writeRecord (member: string, record: KeyRecord): ResultAsync<KeyRecord, RecordFailure> {
    return this.connect(member).andThen((host): ResultAsync<KeyRecord, RecordFailure> => {
      host.applyLog(this.cluster.isTableUp ? this.view.revision : 0)
      const stored = host.coordinator.storeReplica(record, this.id, this.cluster.now)
      return stored === undefined || this.cluster.shouldLoseReply() ? errAsync(failure('refused')) : okAsync(stored)
    })
  }

  transferRecords (member: string, records: readonly KeyRecord[]): ResultAsync<void, RecordFailure> {
    return this.connect(member).map(host => host.coordinator.acceptTransfer(records))
  }

  readRecord (member: string, key: string): ResultAsync<KeyRecord | undefined, RecordFailure> {
    return this.connect(member).andThen((host): ResultAsync<KeyRecord | undefined, RecordFailure> => {
      if (this.cluster.isTableUp) host.applyLog(this.view.revision)
      return host.view.revision < this.view.revision
        ? errAsync(failure('refused'))
        : okAsync(host.coordinator.find(key))
    })
  }

  /** Waits until the host is not frozen. */
  private waitUntilRunning (): Promise<void> {
    return this.isFrozen ? new Promise(resolve => this.resumeCallbacks.push(resolve)) : Promise.resolve()
  }

  private connect (member: string): ResultAsync<TestHost, RecordFailure> {
    const host = this.cluster.hosts.get(member)
    const bothRunning = this.waitUntilRunning().then(() => host?.waitUntilRunning())
    return ResultAsync.fromSafePromise(bothRunning).andThen((): ResultAsync<TestHost, RecordFailure> => {
      return host === undefined || host.isDead ? errAsync(failure('unreachable')) : okAsync(host)
    })
  }
}

function failure (code: 'refused' | 'unreachable'): RecordFailure {
  return new RecordFailure('RecordFailure', { code }, code)
}

/** All simulated hosts, the membership log and the simulated time. */
export class TestCluster {
  readonly hosts = new Map<string, TestHost>()
  readonly log: Array<Revisioned<MembershipEntry>> = []
  isTableUp = true
  /** How many of the next replies of replicas are lost. */
  repliesToLose = 0
  now = 1_000_000

  /** @param size - the initial number of hosts */
  constructor (size: number) {
    for (let i = 0; i < size; i++) this.join()
    for (const host of this.hosts.values()) host.applyLog(this.revision)
    this.advanceTime(60_000)
  }

  /**
   * Advances the time. Detects failures and propagates the log in steps of at most {@link TICK_MS}.
   *
   * @param ms - by how much, in milliseconds
   */
  advanceTime (ms: number): void {
    for (let remainingMs = ms; remainingMs > 0; remainingMs -= TICK_MS) this.tick(Math.min(remainingMs, TICK_MS))
  }

  private tick (ms: number): void {
    this.now += ms
    for (const host of this.hosts.values()) {
      if (host.isFrozen && this.now - host.frozenAt > FAILURE_DETECTION_MS &&
        this.latestView.members.has(host.id)) this.logFailure(host.id)
    }
    for (const host of this.hosts.values()) host.receiveUpdates(this.now)
  }

  /** The latest revision of the log. */
  get revision (): number {
    return this.log.length
  }

  /**
   * Adds a host that becomes the coordinator of a key. At first only the host itself has its join entry.
   *
   * @param key - the key
   */
  joinAsCoordinator (key: string): void {
    const ids = this.latestView.members.keys()
    const existingIds = [...ids]
    for (let n = 0; ; n++) {
      const id = `ahead-${this.hosts.size}-${n}`
      if (new Ranking([...existingIds, id]).first(key) === id) return this.join(id)
    }
  }

  /** The view that results from the whole log. */
  get latestView (): MembershipView {
    return this.log.reduce((view, logged) => view.apply(logged, RETENTION_MS), MembershipView.empty)
  }

  /**
   * Adds a host. At first only the host itself has its join entry.
   *
   * @param id - the id of the host
   */
  join (id: string = `host-${this.hosts.size}`): void {
    const host = new TestHost(id, this)
    this.hosts.set(id, host)
    const member = { id, host: id, dataCentre: 'dc', peerAddress: '', callerAddress: '', phase: Phase.live }
    this.append({ step: 'join', member, id: `join-${id}`, by: id, at: this.now })
    host.applyLog(this.revision)
  }

  /**
   * Logs a host as failed, whether it is dead or not.
   *
   * @param id - the id of the host
   */
  logFailure (id: string): void {
    this.append({ step: 'fail', member: id, id: `fail-${id}`, by: 'test', at: this.now })
  }

  /**
   * Counts down the replies to lose.
   *
   * @returns whether the reply being sent is lost
   */
  shouldLoseReply (): boolean {
    if (this.repliesToLose === 0) return false
    this.repliesToLose--
    return true
  }

  private append (entry: MembershipEntry): void {
    this.log.push({ revision: this.log.length + 1, entry })
  }
}
