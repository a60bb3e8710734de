/** Collects frames and gives those of one turn of the event loop as one envelope. */
export class Outbox<Frame> implements AsyncIterable<{ frames: Frame[] }> {
  private frames: Frame[] = []
  private wake: (() => void) | undefined
  private closed = false

  /** @param frame - sent with the next envelope; dropped once the outbox is closed */
  push (frame: Frame): void {
    if (this.closed) return
    this.frames.push(frame)
    if (this.frames.length === 1) setImmediate(() => this.wake?.())
  }

  /** Ends the stream of envelopes; what was not sent is dropped. */
  close (): void {
    this.closed = true
    this.wake?.()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<{ frames: Frame[] }> {
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
