import type { Clock } from '../src/base/index.js'

/** A clock that advances only on request. A sleep ends once the clock is advanced past its end. */
export class ManualClock implements Clock {
  private readonly sleeps: Array<{ endsAt: number, resolve: () => void }> = []

  /** @param currentTime - the initial time, in milliseconds since the epoch */
  constructor (private currentTime: number = 1_000_000) {}

  now (): number {
    return this.currentTime
  }

  sleep (ms: number): Promise<void> {
    return new Promise(resolve => this.sleeps.push({ endsAt: this.currentTime + ms, resolve }))
  }

  /**
   * Advances the clock and ends the sleeps that are over.
   *
   * @param ms - the time to advance by, in milliseconds
   */
  advance (ms: number): void {
    this.currentTime += ms
    const elapsed = this.sleeps.filter(sleep => sleep.endsAt <= this.currentTime)
    for (const sleep of elapsed) {
      this.sleeps.splice(this.sleeps.indexOf(sleep), 1)
      sleep.resolve()
    }
  }
}

/** Runs the callbacks of promises that are already resolved, over several turns of the event loop. */
export async function flushPromises (): Promise<void> {
  for (let turn = 0; turn < 8; turn++) await new Promise(resolve => setImmediate(resolve))
}
