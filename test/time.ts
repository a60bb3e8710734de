import type { Clock } from '../src/base/index.js'

/** A clock that stands until it is moved. Waits end when it is moved past them. */
export class ManualClock implements Clock {
  private readonly waits: Array<{ at: number, end: () => void }> = []

  /** @param present - the time that it shows first, in milliseconds since the epoch */
  constructor (private present: number = 1_000_000) {}

  now (): number {
    return this.present
  }

  sleep (ms: number): Promise<void> {
    return new Promise(resolve => this.waits.push({ at: this.present + ms, end: resolve }))
  }

  /**
   * Moves the clock on and ends the waits that are over.
   *
   * @param ms - by how much, in milliseconds
   */
  advance (ms: number): void {
    this.present += ms
    const over = this.waits.filter(wait => wait.at <= this.present)
    for (const wait of over) {
      this.waits.splice(this.waits.indexOf(wait), 1)
      wait.end()
    }
  }
}

/** Lets promises that are ready run. */
export async function settle (): Promise<void> {
  for (let turn = 0; turn < 8; turn++) await new Promise(resolve => setImmediate(resolve))
}
