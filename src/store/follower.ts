import type Logger from 'bunyan'
import type { Clock } from '../base/index.js'
import type { StoreFailure } from './failure.js'
import type { Replica } from './replica.js'
import type { Store } from './store.js'

/** Longest wait of one call for changes, in milliseconds; other hosts tell sooner of a connection that went silent. */
const WAIT_MS = 25_000

/** Pause after changes, in milliseconds: bounds the calls that a storm of changes costs. */
export const CHANGES_PAUSE_MS = 200

/** Pause after mere heartbeats, in milliseconds: under the two seconds in which a server that leaves must be known. */
const HEARTBEATS_PAUSE_MS = 1_200

/**
 * First and longest time that a reading of the whole table may take, in milliseconds: at first some times an answer of
 * a slow store, since a host that just started can serve nobody before it.
 */
const FIRST_LIST_MS = 400
const LONGEST_LIST_MS = 2_500

/** First and longest pause after a failed call, in milliseconds: the longest is a part of the bounds on changes. */
const FIRST_RETRY_MS = 100
const LONGEST_RETRY_MS = 800

/** Is told of the store that a follower calls. */
export interface StoreWatcher {
  /** The store answers again after it was away. */
  returned (): void

  /** @param storeMs - the store's clock with an answer whose rows are taken next, in milliseconds */
  clockRead (storeMs: number): void
}

/** Keeps up with one table. */
export class Follower {
  private isRunning = true
  private after: number | undefined
  private failures = 0
  private calling = new AbortController()

  /**
   * @param store - the store
   * @param replica - takes what the table holds
   * @param watcher - is told of the store
   * @param clock - waits; steady
   * @param log - told when the store is lost and regained
   * @param changesPauseMs - pause after changes, in milliseconds
   */
  constructor (
    private readonly store: Store,
    private readonly replica: Replica,
    private readonly watcher: StoreWatcher,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly changesPauseMs = CHANGES_PAUSE_MS
  ) {
    void this.run()
  }

  /** Whether the latest call was answered. */
  get isCurrent (): boolean {
    return this.failures === 0 && this.after !== undefined
  }

  /** Asks anew, on another connection, in place of a call that may wait in vain. */
  restart (): void {
    this.calling.abort()
  }

  /** Stops; a call that waits is let go. */
  close (): void {
    this.isRunning = false
    this.calling.abort()
  }

  private async run (): Promise<void> {
    while (this.isRunning) {
      const changed = this.after === undefined ? await this.readAll() : await this.readOn(this.after)
      if (changed === undefined) {
        const pause = Math.min(FIRST_RETRY_MS * 2 ** (this.failures - 1), LONGEST_RETRY_MS)
        await this.clock.sleep(pause)
      } else {
        await this.clock.sleep(changed)
      }
    }
  }

  /** @returns the pause until the next call, in milliseconds; undefined after a failure */
  private async readAll (): Promise<number | undefined> {
    const answerMs = Math.min(FIRST_LIST_MS * 2 ** this.failures, LONGEST_LIST_MS)
    const listed = await this.store.list(this.replica.table, answerMs)
    if (!this.isRunning) return 0
    if (listed.isErr()) return this.failed(listed.error)
    this.succeeded(listed.value.storeMs)
    this.after = listed.value.revision
    this.replica.replace(listed.value.rows, listed.value.revision, this.clock.now())
    return 0
  }

  /** @returns the pause until the next call, in milliseconds; undefined after a failure */
  private async readOn (after: number): Promise<number | undefined> {
    const calling = this.calling = new AbortController()
    const changes = await this.store.changes(this.replica.table, after, WAIT_MS, calling.signal)
    if (!this.isRunning || calling.signal.aborted) return 0
    if (changes.isErr()) {
      if (changes.error.code !== 'forgotten') return this.failed(changes.error)
      this.after = undefined
      return this.changesPauseMs
    }
    this.succeeded(changes.value.storeMs)
    this.after = Math.max(after, changes.value.revision)
    const { rows } = changes.value
    if (rows.length === 0) return 0
    const now = this.clock.now()
    const mattering = rows.filter(row => this.replica.apply(row, now))
    return mattering.length > 0 ? this.changesPauseMs : HEARTBEATS_PAUSE_MS
  }

  private failed (failure: StoreFailure): undefined {
    this.failures++
    if (this.failures === 1) {
      this.log.warn({ event: 'store-lost', table: this.replica.table, reason: failure.message }, 'store-lost')
    }
  }

  private succeeded (storeMs: number): void {
    this.watcher.clockRead(storeMs)
    if (this.failures === 0) return
    this.log.info({ event: 'store-regained', table: this.replica.table, failures: this.failures }, 'store-regained')
    this.failures = 0
    this.watcher.returned()
  }
}
