import type { Ending } from './result.js'

/** What a reader of an answer gets next. */
export type Part =
  /** The request was handed to the engine. */
  | { readonly part: 'begun', readonly responseId: string }
  /** Whole events, in order; `last` is the sequence number of the last of them. */
  | { readonly part: 'events', readonly data: Buffer, readonly last: number }
  | { readonly part: 'end', readonly ending: Ending }

/** Most bytes given to a reader at once. */
const GREATEST_PART_BYTES = 64 << 10

/**
 * An answer as far as it has come. It grows at one end; any number of readers
 * follow it, each at its own pace and from its own position.
 */
export class Answer {
  private readonly events: Buffer[] = []
  private size = 0
  private begun = false
  private end: Ending | undefined
  private wakers: Array<() => void> = []
  private following = 0

  /**
   * @param responseId - the engine's id of the response
   * @param first - the sequence number of the first event held
   * @param onIdle - called when the last reader has gone before the end
   */
  constructor (readonly responseId: string, readonly first: number, private readonly onIdle: () => void) {}

  /** Bytes held. */
  get bytes (): number {
    return this.size
  }

  /** How many readers follow. */
  get readers (): number {
    return this.following
  }

  /** How it ended, or undefined while it grows. */
  get ending (): Ending | undefined {
    return this.end
  }

  /** Notes that the request was handed to the engine. */
  begin (): void {
    this.begun = true
    this.wake()
  }

  /** @param event - the next event, in order */
  append (event: Buffer): void {
    this.events.push(event)
    this.size += event.length
    this.wake()
  }

  /** @param ending - how it ends; only the first counts */
  finish (ending: Ending): void {
    this.end ??= ending
    this.wake()
  }

  /**
   * Follows the answer to its end.
   *
   * @param after - the last sequence number already had; -1 for none
   * @param signal - ends the reading early, without an end
   * @returns its parts; the last is an end
   */
  async * read (after: number, signal?: AbortSignal): AsyncGenerator<Part> {
    this.following++
    const stop = (): void => this.wake()
    signal?.addEventListener('abort', stop)
    try {
      let told = false
      let at = Math.max(0, after + 1 - this.first)
      while (signal?.aborted !== true) {
        if (this.begun && !told) {
          told = true
          yield { part: 'begun', responseId: this.responseId }
        }
        if (at < this.events.length) {
          const data = this.gather(at)
          at += data.length
          yield { part: 'events', data: Buffer.concat(data), last: this.first + at - 1 }
        } else if (this.end !== undefined) {
          yield { part: 'end', ending: this.end }
          return
        } else {
          await new Promise<void>(resolve => this.wakers.push(resolve))
        }
      }
    } finally {
      signal?.removeEventListener('abort', stop)
      this.following--
      if (this.following === 0 && this.end === undefined) this.onIdle()
    }
  }

  private gather (from: number): Buffer[] {
    const data: Buffer[] = []
    let bytes = 0
    for (let at = from; at < this.events.length && bytes < GREATEST_PART_BYTES; at++) {
      data.push(this.events[at]!)
      bytes += this.events[at]!.length
    }
    return data
  }

  private wake (): void {
    const wakers = this.wakers
    this.wakers = []
    for (const waker of wakers) waker()
  }
}
