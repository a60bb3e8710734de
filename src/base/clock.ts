import { sleep } from './time.js'

/** A source of time. Only code at the edge uses it; decisions take the present time as an argument. */
export interface Clock {
  /** @returns the present time, in milliseconds: since the epoch, or since the start for a steady clock */
  now (): number

  /**
   * @param ms - time to wait, in milliseconds
   * @returns a promise that resolves after the wait
   */
  sleep (ms: number): Promise<void>
}

/** The machine's own clock. */
export class SystemClock implements Clock {
  now (): number {
    return Date.now()
  }

  sleep (ms: number): Promise<void> {
    return sleep(ms)
  }
}

/** A clock that never jumps; its zero is the start of the process. */
export class SteadyClock implements Clock {
  now (): number {
    return performance.now()
  }

  sleep (ms: number): Promise<void> {
    return sleep(ms)
  }
}
