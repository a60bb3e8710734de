/** What bounds the requests that are sent to a second server. */
export interface RepeatBounds {
  /** Repeats for each request of the service. */
  readonly ratio: number
  readonly windowMs: number
  /** Repeats beside those that the ratio gives. */
  readonly slack: number
}

/** Part of the bound that a scheduler uses, so that a change of scheduler within a window stays under it. */
export const SCHEDULER_PART = 0.45

/** Part of the bound that a host keeps to for its own requests, whatever schedulers say. */
export const HOST_PART = 0.9

/** Counts the first sends and repeats of one service over a sliding window. */
export class Repeats {
  private readonly firsts: number[] = []
  private readonly repeats: number[] = []

  /**
   * @param bounds - how many repeats are allowed
   * @param usedPart - part of them that is used, 0 to 1
   */
  constructor (private readonly bounds: RepeatBounds, private readonly usedPart: number) {}

  /** @param now - when a request came for the first time, steady milliseconds */
  sawFirst (now: number): void {
    this.firsts.push(now)
    this.forget(now)
  }

  /**
   * Takes one repeat if the budget has one.
   *
   * @param share - part of the budget that may be used here, 0 to 1
   * @param now - steady time, in milliseconds
   * @returns whether it was taken
   */
  take (share: number, now: number): boolean {
    this.forget(now)
    const most = this.usedPart * (this.bounds.ratio * this.firsts.length + this.bounds.slack * share)
    if (this.repeats.length + 1 > most) return false
    this.repeats.push(now)
    return true
  }

  private forget (now: number): void {
    const oldest = now - this.bounds.windowMs
    for (const times of [this.firsts, this.repeats]) {
      let gone = 0
      while (gone < times.length && times[gone]! < oldest) gone++
      if (gone > 0) times.splice(0, gone)
    }
  }
}
