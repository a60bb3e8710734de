import type { Clock } from '../base/index.js'

/** Longest time between ticks that is no pause, in milliseconds; a server needs longer to start again. */
const MAX_TICK_INTERVAL_MS = 500

/** Time that this process needs after a pause to read what arrived meanwhile, in milliseconds. */
const CATCH_UP_MS = 500

/** Tells whether this process stood still a moment ago, so that what it reads may have arrived long before. */
export class PauseDetector {
  private lastTickAt: number | undefined
  private caughtUpAt = -Infinity

  /** @param clock - monotonic time */
  constructor (private readonly clock: Clock) {}

  /** Whether what is read now may have arrived before a pause ended. */
  get wasPaused (): boolean {
    const now = this.clock.now()
    return now < this.caughtUpAt || this.isPauseUntil(now)
  }

  /** To be called at short intervals. */
  tick (): void {
    const now = this.clock.now()
    if (this.isPauseUntil(now)) this.caughtUpAt = now + CATCH_UP_MS
    this.lastTickAt = now
  }

  private isPauseUntil (now: number): boolean {
    return this.lastTickAt !== undefined && now - this.lastTickAt > MAX_TICK_INTERVAL_MS
  }
}
