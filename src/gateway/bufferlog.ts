import type Logger from 'bunyan'
import type { Clock } from '../base/index.js'
import type { BufferObserver } from '../forward/index.js'

/** Interval at which it is logged that memory is short, in milliseconds. */
const LOG_INTERVAL_MS = 1_000

/** Logs when requests and responses give way for want of memory, and runs the garbage collector. */
export class BufferLog implements BufferObserver {
  private loggedAt = -Infinity

  /**
   * @param clock - monotonic time
   * @param log - receives the records
   */
  constructor (private readonly clock: Clock, private readonly log: Logger) {}

  collectGarbage (): void {
    // Defined if node was started with --expose-gc, as in the deploy file.
    globalThis.gc?.()
  }

  recordYield (count: number): void {
    const now = this.clock.now()
    if (now - this.loggedAt < LOG_INTERVAL_MS) return
    this.loggedAt = now
    this.log.warn({ event: 'memory-short', yields: count }, 'memory-short')
  }
}
