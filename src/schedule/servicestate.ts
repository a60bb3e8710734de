import { Line } from './queue.js'
import { Shares } from './shares.js'
import { type RepeatBounds, Repeats, SCHEDULER_PART } from './retrybudget.js'

/** What the scheduler keeps of one service: who waits, and the second sends. */
export class Lane {
  readonly line = new Line()
  readonly shares = new Shares()
  readonly repeats: Repeats

  /** @param bounds - what bounds repeats */
  constructor (bounds: RepeatBounds) {
    this.repeats = new Repeats(bounds, SCHEDULER_PART)
  }
}
