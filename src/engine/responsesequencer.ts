import { isLastEvent, type StreamEvent } from './event.js'

/** Maximum number of events that are buffered until the missing events before them arrive. */
const MAX_BUFFERED_EVENTS = 256

/** Result of adding an event. */
export type SequencerResult =
  /** Events that can be passed on, in order; may be empty. */
  | { readonly kind: 'pass', readonly events: readonly StreamEvent[] }
  /** The event belongs to another response. */
  | { readonly kind: 'foreign' }
  /** Events are missing, and the buffer for later events is full. */
  | { readonly kind: 'gap' }

/**
 * Passes on the events of one response, each once and in order of sequence
 * number. Drops duplicates and buffers events that arrive out of order.
 */
export class ResponseSequencer {
  private readonly buffered = new Map<number, StreamEvent>()
  private readonly itemIds = new Set<string>()
  private done = false

  /**
   * @param responseId - id of the expected response
   * @param lastSequence - last sequence number already passed on; -1 for none
   */
  constructor (private readonly responseId: string, private lastSequence: number) {}

  /** Last sequence number passed on; -1 for none. */
  get lastPassedSequence (): number {
    return this.lastSequence
  }

  /** Whether the last event of the response was passed on. */
  get isDone (): boolean {
    return this.done
  }

  /** Discards buffered events. To be called before reading resumes after the last event passed on. */
  discardBuffered (): void {
    this.buffered.clear()
  }

  /**
   * @param event - the next event received
   * @returns the events that can be passed on, or why the stream cannot be used
   */
  push (event: StreamEvent): SequencerResult {
    if (this.isForeign(event)) return { kind: 'foreign' }
    if (event.sequence <= this.lastSequence || this.done) return { kind: 'pass', events: [] }
    this.buffered.set(event.sequence, event)
    const events: StreamEvent[] = []
    for (let next = this.buffered.get(this.lastSequence + 1); next !== undefined;
      next = this.buffered.get(this.lastSequence + 1)) {
      this.buffered.delete(next.sequence)
      this.lastSequence = next.sequence
      this.done = isLastEvent(next)
      events.push(next)
      if (this.done) break
    }
    return this.buffered.size > MAX_BUFFERED_EVENTS ? { kind: 'gap' } : { kind: 'pass', events }
  }

  private isForeign (event: StreamEvent): boolean {
    if (event.responseId !== undefined && event.responseId !== this.responseId) return true
    if (event.itemId === undefined) return false
    if (event.type === 'response.output_item.added') {
      this.itemIds.add(event.itemId)
      return false
    }
    return this.itemIds.size > 0 && !this.itemIds.has(event.itemId)
  }
}
