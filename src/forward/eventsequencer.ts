import { Splitter } from '../engine/index.js'
import { eventId } from './eventid.js'

/** Longest event that is taken, in bytes. */
const GREATEST_EVENT_BYTES = 1 << 20

/** What the next bytes of a stream come to: whole events that may pass, and whether the stream is still sound. */
export interface Passed {
  readonly events: readonly Buffer[]
  readonly isSound: boolean
}

/** Lets through the events of one answer, whole, in order and each once, over all servers that it comes from. */
export class Sequence {
  private splitter = new Splitter(GREATEST_EVENT_BYTES)
  private restBytes = 0

  /** @param last - the id of the last event that was passed on, if any */
  constructor (private last: number | undefined) {}

  /** The id of the last event that was passed on, if any. */
  get position (): number | undefined {
    return this.last
  }

  /** Whether the bytes so far end with a whole event. */
  get isWhole (): boolean {
    return this.restBytes === 0
  }

  /** Drops the piece of an event that is not whole, before the stream goes on at another server. */
  rewind (): void {
    this.splitter = new Splitter(GREATEST_EVENT_BYTES)
    this.restBytes = 0
  }

  /**
   * @param bytes - as they came
   * @returns what may pass
   */
  push (bytes: Buffer): Passed {
    const split = this.splitter.push(bytes)
    if (split === undefined) return { events: [], isSound: false }
    this.restBytes += bytes.length
    const events: Buffer[] = []
    for (const event of split) {
      this.restBytes -= event.length
      const id = eventId(event)
      if (id !== undefined && this.last !== undefined) {
        if (id <= this.last) continue
        if (id > this.last + 1) return { events, isSound: false }
      }
      this.last = id ?? this.last
      events.push(event)
    }
    return { events, isSound: true }
  }
}
