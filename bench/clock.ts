import { Heap } from '../src/admission/index.js'

interface ScheduledCallback {
  readonly at: number
  /** Callbacks of the same time run in ascending order of this number. */
  readonly order: number
  readonly callback: () => void
}

/** Clock of a discrete-event simulation: runs scheduled callbacks in order of time, without waiting between them. */
export class VirtualClock {
  private readonly queue = new Heap<ScheduledCallback>((a, b) => a.at < b.at || (a.at === b.at && a.order < b.order))
  private nextOrder = 0
  private currentTime = 0

  /** The virtual time, in milliseconds since the start of the run. */
  get now (): number {
    return this.currentTime
  }

  /**
   * Schedules a callback. Callbacks of the same time run in the order in which they were scheduled.
   *
   * @param at - virtual time of the call, in milliseconds; a time in the past counts as the present
   * @param callback - called once at that time
   */
  schedule (at: number, callback: () => void): void {
    this.queue.push({ at: Math.max(at, this.currentTime), order: this.nextOrder++, callback })
  }

  /**
   * Runs the callbacks that are due, including those that they schedule in turn.
   *
   * @param endAt - virtual time of the last callbacks that run, in milliseconds
   */
  runUntil (endAt: number): void {
    for (let next = this.queue.peek(); next !== undefined && next.at <= endAt; next = this.queue.peek()) {
      this.queue.pop()
      this.currentTime = next.at
      next.callback()
    }
  }
}
