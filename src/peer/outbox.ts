import type { MessageInitShape } from '@bufbuild/protobuf'
import type { EnvelopeSchema, FrameSchema } from './peer_pb.js'

/** A frame to be sent. */
export type OutFrame = MessageInitShape<typeof FrameSchema>

/** Collects frames and gives those of one turn of the event loop as one envelope. */
export class Outbox implements AsyncIterable<MessageInitShape<typeof EnvelopeSchema>> {
  private frames: OutFrame[] = []
  private wake: (() => void) | undefined
  private closed = false

  /** @param frame - sent with the next envelope; dropped once the outbox is closed */
  push (frame: OutFrame): void {
    if (this.closed) return
    this.frames.push(frame)
    if (this.frames.length === 1) setImmediate(() => this.wake?.())
  }

  /** Ends the stream of envelopes; what was not sent is dropped. */
  close (): void {
    this.closed = true
    this.wake?.()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<MessageInitShape<typeof EnvelopeSchema>> {
    while (!this.closed) {
      if (this.frames.length > 0) {
        const frames = this.frames
        this.frames = []
        yield { frames }
      } else {
        await new Promise<void>(resolve => { this.wake = resolve })
        this.wake = undefined
      }
    }
  }
}
