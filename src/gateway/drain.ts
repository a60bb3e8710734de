import type { Clock } from '../base/index.js'

/**
 * How long a stopping host still accepts connections, in milliseconds. The load balancer sends new ones until two
 * readiness checks, a second apart, have failed.
 */
const ACCEPT_GRACE_MS = 2_500

/** Time before the forced end of the process at which all connections are closed, in milliseconds. */
const FORCED_END_MARGIN_MS = 700

/** Interval at which a stopping host checks whether all requests are answered, in milliseconds. */
const POLL_MS = 50

/** What a stopping host still serves. */
export interface DrainTarget {
  /** @returns the number of requests that are not answered yet */
  activeRequestCount (): number
  /** Stops accepting connections and requests. */
  stopAccepting (): void
}

/**
 * Serves the requests of a stopping host until all are answered or the end of the process is near.
 *
 * @param target - what the host still serves
 * @param graceMs - time until the forced end of the process, in milliseconds
 * @param clock - monotonic time
 */
export async function drain (target: DrainTarget, graceMs: number, clock: Clock): Promise<void> {
  const startedAt = clock.now()
  const endAt = startedAt + graceMs - FORCED_END_MARGIN_MS
  let isAccepting = true
  while (clock.now() < endAt) {
    await clock.sleep(POLL_MS)
    if (clock.now() - startedAt < ACCEPT_GRACE_MS) continue
    if (isAccepting) target.stopAccepting()
    isAccepting = false
    if (target.activeRequestCount() === 0) break
  }
}
