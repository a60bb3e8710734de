import { isLast, type StreamEvent } from './event.js'

/** How many events that came too early are kept. */
const GREATEST_EARLY = 256

/** What an event comes to. */
export type Verdict =
  /** These events are next, in order. */
  | { readonly verdict: 'pass', readonly events: readonly StreamEvent[] }
  /** The event belongs to another response. */
  | { readonly verdict: 'foreign' }
  /** Events are missing, and too many came after them. */
  | { readonly verdict: 'gap' }

/**
 * Lets through exactly the events of one response, each once and in order.
 * Doubled events are dropped, early ones wait for those before them.
 */
export class Guard {
  private readonly early = new Map<number, StreamEvent>()
  private readonly items = new Set<string>()
  private done = false

  /**
   * @param responseId - the response that is read
   * @param last - the last sequence number already let through; -1 for none
   */
  constructor (private readonly responseId: string, private last: number) {}

  /** The last sequence number let through; -1 for none. */
  get position (): number {
    return this.last
  }

  /** Whether the answer's last event was let through. */
  get isDone (): boolean {
    return this.done
  }

  /** Forgets events that wait, before the stream is read again from the position. */
  rewind (): void {
    this.early.clear()
  }

  /**
   * @param event - the next event as it came
   * @returns what may pass by now
   */
  push (event: StreamEvent): Verdict {
    if (this.isForeign(event)) return { verdict: 'foreign' }
    if (event.sequence <= this.last || this.done) return { verdict: 'pass', events: [] }
    this.early.set(event.sequence, event)
    const events: StreamEvent[] = []
    for (let next = this.early.get(this.last + 1); next !== undefined; next = this.early.get(this.last + 1)) {
      this.early.delete(next.sequence)
      this.last = next.sequence
      this.done = isLast(next)
      events.push(next)
      if (this.done) break
    }
    return this.early.size > GREATEST_EARLY ? { verdict: 'gap' } : { verdict: 'pass', events }
  }

  private isForeign (event: StreamEvent): boolean {
    if (event.responseId !== undefined && event.responseId !== this.responseId) return true
    if (event.itemId === undefined) return false
    if (event.type === 'response.output_item.added') {
      this.items.add(event.itemId)
      return false
    }
    return this.items.size > 0 && !this.items.has(event.itemId)
  }
}
