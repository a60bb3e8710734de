import type { RequestResult } from './result.js'

/** One part of a response, as a reader of a {@link ResponseBuffer} receives it. */
export type ResponsePart =
  /** The request was dispatched to the engine. */
  | { readonly part: 'begun', readonly responseId: string }
  /** Complete events, in order; `lastSequenceNumber` belongs to the last of them. */
  | { readonly part: 'events', readonly data: Buffer, readonly lastSequenceNumber: number }
  /** The response is finished; no part follows. */
  | { readonly part: 'end', readonly result: RequestResult }

/** Size in bytes from which no further event is added to a part. */
const MAX_PART_BYTES = 64 << 10

/**
 * Buffers the events of a response, from the first one held to the latest
 * received. Any number of readers can read it, each at its own rate and from its
 * own position.
 */
export class ResponseBuffer {
  private readonly events: Buffer[] = []
  private totalBytes = 0
  private isDispatched = false
  private finalResult: RequestResult | undefined
  private pendingReads: Array<() => void> = []
  private activeReaders = 0

  /**
   * @param responseId - the engine's id of the response
   * @param firstSequenceNumber - the sequence number of the first event held
   * @param onReadersGone - called when the last reader leaves before the response is finished
   */
  constructor (
    readonly responseId: string, readonly firstSequenceNumber: number, private readonly onReadersGone: () => void
  ) {}

  /** Total size of the events held, in bytes. */
  get bytes (): number {
    return this.totalBytes
  }

  /** Number of readers that currently read the response. */
  get readerCount (): number {
    return this.activeReaders
  }

  /** The result of the request, or undefined until the response is finished. */
  get result (): RequestResult | undefined {
    return this.finalResult
  }

  /** Records that the request was dispatched to the engine. */
  markDispatched (): void {
    this.isDispatched = true
    this.wakeReaders()
  }

  /** @param event - the event that follows those already held */
  append (event: Buffer): void {
    this.events.push(event)
    this.totalBytes += event.length
    this.wakeReaders()
  }

  /** @param result - the result of the request; ignored if the response is already finished */
  finish (result: RequestResult): void {
    this.finalResult ??= result
    this.wakeReaders()
  }

  /**
   * Reads the response until it is finished.
   *
   * @param after - the last sequence number already received; -1 for none
   * @param signal - ends the read early, without an `end` part
   * @returns the parts of the response, the last of them an `end`
   */
  async * read (after: number, signal?: AbortSignal): AsyncGenerator<ResponsePart> {
    this.activeReaders++
    const onAbort = (): void => this.wakeReaders()
    signal?.addEventListener('abort', onAbort)
    try {
      let isDispatchReported = false
      let index = Math.max(0, after + 1 - this.firstSequenceNumber)
      while (signal?.aborted !== true) {
        if (this.isDispatched && !isDispatchReported) {
          isDispatchReported = true
          yield { part: 'begun', responseId: this.responseId }
        }
        if (index < this.events.length) {
          const events = this.collect(index)
          index += events.length
          yield { part: 'events', data: Buffer.concat(events), lastSequenceNumber: this.firstSequenceNumber + index - 1 }
        } else if (this.finalResult !== undefined) {
          yield { part: 'end', result: this.finalResult }
          return
        } else {
          await new Promise<void>(resolve => this.pendingReads.push(resolve))
        }
      }
    } finally {
      signal?.removeEventListener('abort', onAbort)
      this.activeReaders--
      if (this.activeReaders === 0 && this.finalResult === undefined) this.onReadersGone()
    }
  }

  /** Collects the events of the next part. */
  private collect (start: number): Buffer[] {
    const events: Buffer[] = []
    let bytes = 0
    for (let index = start; index < this.events.length && bytes < MAX_PART_BYTES; index++) {
      events.push(this.events[index]!)
      bytes += this.events[index]!.length
    }
    return events
  }

  private wakeReaders (): void {
    const pendingReads = this.pendingReads
    this.pendingReads = []
    for (const resolve of pendingReads) resolve()
  }
}
