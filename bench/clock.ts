import { Heap } from '../src/admission/index.js'

interface Item {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** Virtual time: runs what was planned, in order, without waiting. */
export class Agenda {
  private readonly items = new Heap<Item>((a, b) => a.at < b.at || (a.at === b.at && a.order < b.order))
  private count = 0
  private present = 0

  /** The virtual time, in milliseconds. */
  get now (): number {
    return this.present
  }

  /**
   * @param at - when to run, in milliseconds
   * @param run - what to run
   */
  plan (at: number, run: () => void): void {
    this.items.push({ at: Math.max(at, this.present), order: this.count++, run })
  }

  /** @param until - runs everything planned up to this time, in milliseconds */
  run (until: number): void {
    for (let item = this.items.peek(); item !== undefined && item.at <= until; item = this.items.peek()) {
      this.items.pop()
      this.present = item.at
      item.run()
    }
  }
}
