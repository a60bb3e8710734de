import { sleep } from './time.js'

/** A source of time. Only code that does I/O uses it; decision logic takes the current time as an argument. */
export interface Clock {
  /** @returns the current time in milliseconds: since the epoch, or since process start for a monotonic clock */
  now (): number

  /**
   * @param ms - delay in milliseconds
   * @returns a promise that resolves after the delay
   */
  sleep (ms: number): Promise<void>
}

/** The wall clock of the machine, in milliseconds since the epoch. */
export class SystemClock implements Clock {
  now (): number {
    return Date.now()
  }

  sleep (ms: number): Promise<void> {
    return sleep(ms)
  }
}

/** A monotonic clock, unaffected by changes of the wall clock. Its origin is the start of the process. */
export class MonotonicClock implements Clock {
  now (): number {
    return performance.now()
  }

  sleep (ms: number): Promise<void> {
    return sleep(ms)
  }
}
