import type { SchedulerSelector } from '../dispatch/index.js'
import type { Directory } from './directory.js'

/** How long a host that has started waits for the feed of a scheduler, in milliseconds: the time to link to one. */
const FEED_WAIT_MS = 500

/**
 * The same when the whole deployment starts for the first time, in milliseconds: the members become known to each other
 * only now, and no callers are there yet.
 */
const FIRST_START_WAIT_MS = 2_000

/** Decides whether, and how closely, this host follows the store itself. */
export class StoreFollowing {
  /**
   * @param directory - follows the store
   * @param selector - tells what other hosts do
   * @param isFirstStart - whether the whole deployment starts for the first time
   * @param startedAt - when this host started, in milliseconds of monotonic time
   */
  constructor (
    private readonly directory: Directory,
    private readonly selector: SchedulerSelector,
    private readonly isFirstStart: boolean,
    private readonly startedAt: number
  ) {}

  /** @param now - monotonic time, in milliseconds */
  tick (now: number): void {
    const { directory, selector } = this
    directory.setLongPolls(selector.isStoreChecked(now))
    if (directory.setFed(selector.isFed(now), this.isWaiting(now))) selector.sendVersionVector()
  }

  /** Whether a scheduler may feed this host soon, so that it follows only the members' table for now. */
  private isWaiting (now: number): boolean {
    const { isFirstStart, startedAt, selector: { storeCheck } } = this
    const waitMs = isFirstStart ? FIRST_START_WAIT_MS : FEED_WAIT_MS
    return (isFirstStart || storeCheck.mayBeFed) && now - startedAt < waitMs
  }
}
