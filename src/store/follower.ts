import type Logger from 'bunyan'
import { type Clock, toError } from '../base/index.js'
import type { Replica } from './replica.js'
import { eraOf } from './revision.js'
import type { RowBatch } from './row.js'
import type { Store } from './store.js'
import type { StoreObserver } from './storeobserver.js'

/**
 * How long the store may hold a call that waits for changes, in milliseconds. A call that is never answered hides all
 * changes until its timeout, so the wait is only long while another host with short polls would reveal them by gossip.
 */
const SHORT_POLL_WAIT_MS = 1_000
const LONG_POLL_WAIT_MS = 25_000

/** Pause after changes, in milliseconds; limits the number of calls when a table changes often. */
export const CHANGES_PAUSE_MS = 200

/**
 * Pause after changes that are only heartbeats, in milliseconds. Below the two seconds within which hosts must know of
 * a server that leaves.
 */
const HEARTBEATS_PAUSE_MS = 1_200

/**
 * Initial and longest timeouts, in milliseconds, on top of the wait of a poll. The initial one is only a few times the
 * response time of a slow store, since a host that has just started can't serve requests until the tables are listed.
 * The longest one of polls is half of the time after an outage in which the missed changes must take effect.
 */
const INITIAL_TIMEOUT_MS = 400
const MAX_LIST_TIMEOUT_MS = 2_500
const MAX_POLL_TIMEOUT_MS = 1_500

/**
 * Initial and longest pause after a failed call, in milliseconds. The longest one counts towards the time within which
 * a change must take effect.
 */
const INITIAL_RETRY_PAUSE_MS = 100
const MAX_RETRY_PAUSE_MS = 800

/** Keeps the replica of one table up to date by polling the store for changes. */
export class Follower {
  private isRunning = true
  /** The revision up to which changes were read; undefined if the table has to be listed. */
  private revision: number | undefined
  /** Failed calls since the last successful one. */
  private failureCount = 0
  private pollAbort = new AbortController()
  /** When the latest call was made and when the latest response arrived, in milliseconds of monotonic time. */
  private calledAt: number
  private answeredAt: number | undefined
  private usesLongPolls = false
  private isPaused = false
  private continueRunning: (() => void) | undefined
  /** Era of the latest list; undefined before the first one. */
  private era: number | undefined

  /**
   * @param store - the store to poll
   * @param replica - the local copy of the table
   * @param observer - notified about the store
   * @param clock - monotonic time; waits between calls
   * @param log - logs when the store becomes unavailable and available again
   * @param changesPauseMs - pause after changes, in milliseconds
   */
  constructor (
    private readonly store: Store,
    private readonly replica: Replica,
    private readonly observer: StoreObserver,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly changesPauseMs = CHANGES_PAUSE_MS
  ) {
    this.calledAt = clock.now()
    void this.run()
  }

  /** Whether the table was listed and the latest call succeeded. */
  get isCurrent (): boolean {
    return this.failureCount === 0 && this.revision !== undefined
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the state of the calls to the store, for diagnosis by operators
   */
  dump (now: number): Readonly<Record<string, unknown>> {
    return {
      revision: this.revision,
      failures: this.failureCount,
      calledMsAgo: now - this.calledAt,
      answeredMsAgo: this.answeredAt === undefined ? undefined : now - this.answeredAt
    }
  }

  /** When the store last responded, in milliseconds of monotonic time; undefined if it never did. */
  get lastAnsweredAt (): number | undefined {
    return this.answeredAt
  }

  /**
   * Selects short or long polls. Long ones are for hosts to which another host reveals missed changes.
   *
   * @param usesLongPolls - whether polls may stay pending for long
   */
  setLongPolls (usesLongPolls: boolean): void {
    if (usesLongPolls === this.usesLongPolls) return
    this.usesLongPolls = usesLongPolls
    if (!usesLongPolls) this.restart()
  }

  /**
   * Pauses calls to the store, or resumes them with a list of the table.
   *
   * @param isPaused - whether another source keeps the replica up to date
   */
  setPaused (isPaused: boolean): void {
    if (isPaused === this.isPaused) return
    this.isPaused = isPaused
    this.revision = undefined
    this.pollAbort.abort()
    if (!isPaused) this.continueRunning?.()
  }

  /** Aborts a pending long poll, whose connection may be stalled, and polls again on another connection. */
  restart (): void {
    this.pollAbort.abort()
  }

  /** Stops following the table, and aborts a pending long poll. */
  close (): void {
    this.isRunning = false
    this.pollAbort.abort()
    this.continueRunning?.()
  }

  private async run (): Promise<void> {
    // The follower may be paused right after it was created.
    await Promise.resolve()
    while (this.isRunning) {
      if (this.isPaused) {
        await new Promise<void>(resolve => { this.continueRunning = resolve })
        continue
      }
      const pauseMs = await this.callStore()
      if (pauseMs === undefined) {
        const retryPauseMs = Math.min(INITIAL_RETRY_PAUSE_MS * 2 ** (this.failureCount - 1), MAX_RETRY_PAUSE_MS)
        await this.clock.sleep(Math.max(0, retryPauseMs - (this.clock.now() - this.calledAt)))
      } else {
        await this.clock.sleep(pauseMs)
      }
    }
  }

  /** @returns the pause until the next call, in milliseconds; undefined after a failure */
  private async callStore (): Promise<number | undefined> {
    try {
      return this.revision === undefined ? await this.listTable() : await this.readChanges(this.revision)
    } catch (thrown) {
      // A response that can't be handled must not end the follower. The table is listed again.
      this.revision = undefined
      return this.recordFailure(toError(thrown))
    }
  }

  /** @returns the pause until the next call, in milliseconds; undefined after a failure */
  private async listTable (): Promise<number | undefined> {
    this.calledAt = this.clock.now()
    const listed = await this.store.list(this.replica.table, this.timeoutMs(MAX_LIST_TIMEOUT_MS))
    if (!this.isRunning) return 0
    if (listed.isErr()) return this.recordFailure(listed.error)
    this.recordSuccess(listed.value.storeMs)
    this.updateEra(listed.value)
    this.revision = listed.value.revision
    this.logOutdated(listed.value)
    this.replica.applyTable(listed.value.rows, listed.value.revision, this.clock.now())
    this.observer.tableListed()
    return 0
  }

  /** @returns the pause until the next call, in milliseconds; undefined after a failure */
  private async readChanges (after: number): Promise<number | undefined> {
    this.calledAt = this.clock.now()
    const pollAbort = this.pollAbort = new AbortController()
    const timeoutMs = this.pollWaitMs + this.timeoutMs(MAX_POLL_TIMEOUT_MS)
    const changes = await this.store.awaitChanges(
      this.replica.table, after, this.pollWaitMs, timeoutMs, pollAbort.signal)
    if (!this.isRunning || pollAbort.signal.aborted) return 0
    if (changes.isErr()) {
      if (changes.error.code !== 'forgotten') return this.recordFailure(changes.error)
      this.log.info({ event: 'history-forgotten', table: this.replica.table, after }, 'history-forgotten')
      this.revision = undefined
      return this.changesPauseMs
    }
    this.recordSuccess(changes.value.storeMs)
    this.revision = Math.max(after, changes.value.revision)
    const { rows } = changes.value
    if (rows.length === 0) return 0
    this.logOutdated(changes.value)
    const now = this.clock.now()
    const significantRows = rows.filter(row => this.replica.apply(row, now))
    return significantRows.length > 0 ? this.changesPauseMs : HEARTBEATS_PAUSE_MS
  }

  /** Only a list can begin a new era for this table, since polls name a revision of the known one. */
  private updateEra ({ rows, revision }: RowBatch): void {
    const era = eraOf(revision)
    const previousEra = this.era
    this.era = era
    if (previousEra === undefined || previousEra === era) return
    const { table } = this.replica
    this.log.warn({ event: 'store-returned', table, previousEra, era, rows: rows.length }, 'store-returned')
    this.observer.eraChanged()
  }

  /** How long the next poll may wait, in milliseconds. After a failure, it shows at once whether the outage is over. */
  private get pollWaitMs (): number {
    if (this.failureCount > 0) return 0
    return this.usesLongPolls ? LONG_POLL_WAIT_MS : SHORT_POLL_WAIT_MS
  }

  private timeoutMs (maxMs: number): number {
    return Math.min(INITIAL_TIMEOUT_MS * 2 ** this.failureCount, maxMs)
  }

  /** Logs rows from the store of which this host knows newer revisions; they are not applied. */
  private logOutdated ({ rows, revision }: RowBatch): void {
    const outdated = rows.filter(row => this.replica.isOutdated(row)).length
    if (outdated === 0) return
    const { table, newestRevision } = this.replica
    this.log.warn({ event: 'rows-outdated', table, outdated, revision, newestRevision }, 'rows-outdated')
  }

  private recordFailure (failure: Error): undefined {
    this.failureCount++
    if (this.failureCount === 1) {
      this.log.warn({ event: 'store-lost', table: this.replica.table, reason: failure.message }, 'store-lost')
    }
  }

  private recordSuccess (storeMs: number): void {
    this.answeredAt = this.clock.now()
    this.observer.storeClockRead(storeMs)
    if (this.failureCount === 0) return
    this.log.info({ event: 'store-regained', table: this.replica.table, failures: this.failureCount }, 'store-regained')
    this.failureCount = 0
    this.observer.storeRecovered()
  }
}
