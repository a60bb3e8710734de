import type { Clock } from '../base/index.js'

/**
 * How long a stopping host still accepts connections, in milliseconds. The load balancer sends new ones until two
 * readiness checks, a second apart, have failed.
 */
const ACCEPT_GRACE_MS = 2_500

/** Time before the forced end of the process at which the requests that remain get their final responses, in ms. */
const FORCED_END_MARGIN_MS = 700

/** Time for callers to receive the final responses before all connections are closed, in milliseconds. */
const FINAL_RESPONSES_MS = 300

/**
 * Share of the time until the forced end in which requests that were not sent to a server yet are not sent any more.
 * Most requests take less, and those that may not run twice are not cut off.
 */
const LAST_SEND_SHARE = 0.3

/** Interval at which a stopping host checks whether all requests are answered, in milliseconds. */
const POLL_MS = 50

/** What a stopping host still serves. */
interface DrainTarget {
  /** @returns the number of requests that are not answered yet */
  activeRequestCount (): number
  /** Stops accepting connections and requests. */
  stopAccepting (): void
  /** Gives all requests without a response their final one. */
  giveUp (): void
}

/** The planned stop of a host. */
export class Drain {
  /** Whether the stop has begun, so that connections are closed after their next response. */
  isStopping = false
  /** Whether connections and requests are accepted; stays true for a while after the stop has begun. */
  isAccepting = true
  /** Whether requests that were not sent to a server yet may be sent. */
  maySend = true

  /**
   * Serves the requests of the host until all are answered or the end of the process is near.
   *
   * @param target - what the host still serves
   * @param graceMs - time until the forced end of the process, in milliseconds
   * @param clock - monotonic time
   */
  async run (target: DrainTarget, graceMs: number, clock: Clock): Promise<void> {
    const startedAt = clock.now()
    const endAt = startedAt + graceMs - FORCED_END_MARGIN_MS
    this.isStopping = true
    while (clock.now() < endAt) {
      await clock.sleep(POLL_MS)
      const spentMs = clock.now() - startedAt
      this.maySend = spentMs < graceMs * (1 - LAST_SEND_SHARE)
      if (spentMs < ACCEPT_GRACE_MS) continue
      if (this.isAccepting) target.stopAccepting()
      this.isAccepting = false
      if (target.activeRequestCount() === 0) return
    }
    target.giveUp()
    while (clock.now() < endAt + FINAL_RESPONSES_MS && target.activeRequestCount() > 0) await clock.sleep(POLL_MS)
  }
}
