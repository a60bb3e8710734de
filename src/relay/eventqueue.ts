import type { SendEventInit } from './messages.js'

/** Most bytes of a response that are buffered while the other host does not read, in bytes. */
const MAX_BUFFERED_BYTES = 64 << 10

/** Queues the progress of a relayed request until the other host reads it. */
export class EventQueue implements AsyncIterable<SendEventInit> {
  private readonly events: Array<{ readonly event: SendEventInit, readonly bytes: number }> = []
  private queuedBytes = 0
  private notifyReader: (() => void) | undefined
  private isClosed = false

  /** @param onRead - called after an event was read, with the bytes that are still queued */
  constructor (private readonly onRead: (queuedBytes: number) => void) {}

  /** Number of bytes of the body that are queued. */
  get bytes (): number {
    return this.queuedBytes
  }

  /** Whether further parts of the body are to be held back. */
  get isFull (): boolean {
    return this.queuedBytes >= MAX_BUFFERED_BYTES
  }

  /**
   * @param event - the event to send
   * @param bytes - its size, in bytes, if it is a part of the body
   */
  push (event: SendEventInit, bytes = 0): void {
    if (this.isClosed) return
    this.events.push({ event, bytes })
    this.queuedBytes += bytes
    this.notifyReader?.()
  }

  /** Ends the stream after the events that are queued. */
  close (): void {
    this.isClosed = true
    this.notifyReader?.()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<SendEventInit> {
    for (;;) {
      const next = this.events.shift()
      if (next !== undefined) {
        yield next.event
        this.queuedBytes -= next.bytes
        if (next.bytes > 0) this.onRead(this.queuedBytes)
      } else if (this.isClosed) {
        return
      } else {
        await new Promise<void>(resolve => { this.notifyReader = resolve })
        this.notifyReader = undefined
      }
    }
  }
}
