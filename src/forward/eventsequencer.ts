import { EventSplitter } from '../engine/index.js'
import { hasEventData, parseEventId } from './eventid.js'

/** Longest event that is accepted, in bytes. */
const MAX_EVENT_BYTES = 256 << 10

/** A complete event that may be forwarded. */
export interface SequencedEvent {
  readonly bytes: Buffer
  /** Whether it continues the stream; false for comments, and for events without an id if others have one. */
  readonly isProgress: boolean
}

/** Result of adding bytes to an event stream. */
export interface SequencedEvents {
  readonly events: readonly SequencedEvent[]
  /** Whether the stream is still valid: no event is missing or too long. */
  readonly isValid: boolean
}

/**
 * Selects the events of one response that are forwarded: complete ones, in order and each once, even if several
 * servers send parts of the stream.
 */
export class EventSequencer {
  private splitter = new EventSplitter(MAX_EVENT_BYTES)
  private partialBytes = 0
  private progressCount = 0
  private discardCount = 0

  /** @param lastId - id of the last event that the caller has, if any */
  constructor (private lastId: number | undefined) {}

  /** Id of the last event that was forwarded or that the caller already had, if any. */
  get lastEventId (): number | undefined {
    return this.lastId
  }

  /** Whether the bytes so far end with a complete event. */
  get isAtEventBoundary (): boolean {
    return this.partialBytes === 0
  }

  /** Memory of the partial event, in bytes. */
  get bufferedBytes (): number {
    return this.splitter.bufferedBytes
  }

  /** Whether the current response has added an event to the stream. */
  get hasProgressed (): boolean {
    return this.progressCount > 0
  }

  /** Whether an earlier response of the stream broke off. */
  get isContinued (): boolean {
    return this.discardCount > 0
  }

  /** Discards a partial event, before another server continues the stream. */
  discardPartialEvent (): void {
    this.discardCount++
    this.progressCount = 0
    this.splitter = new EventSplitter(MAX_EVENT_BYTES)
    this.partialBytes = 0
  }

  /**
   * Adds bytes of the stream.
   *
   * @param bytes - the next bytes, as received
   * @returns the events that are complete now and were not forwarded before
   */
  push (bytes: Buffer): SequencedEvents {
    const complete = this.splitter.push(bytes)
    if (complete === undefined) return { events: [], isValid: false }
    this.partialBytes += bytes.length
    const events: SequencedEvent[] = []
    for (const event of complete) {
      this.partialBytes -= event.length
      const id = parseEventId(event)
      if (id !== undefined && this.lastId !== undefined) {
        if (id <= this.lastId) continue
        if (id > this.lastId + 1) return { events, isValid: false }
      }
      const isProgress = id !== undefined || (this.lastId === undefined && hasEventData(event))
      this.lastId = id ?? this.lastId
      if (isProgress) this.progressCount++
      events.push({ bytes: event, isProgress })
    }
    return { events, isValid: true }
  }
}
