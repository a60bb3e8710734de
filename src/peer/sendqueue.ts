/** Queues outgoing frames and yields those pushed in one turn of the event loop as one envelope. */
export class SendQueue<Frame> implements AsyncIterable<{ frames: Frame[] }> {
  private frames: Frame[] = []
  private notifyReader: (() => void) | undefined
  private isClosed = false

  /** @param frame - the frame to send with the next envelope; discarded if the queue is closed */
  push (frame: Frame): void {
    if (this.isClosed) return
    this.frames.push(frame)
    if (this.frames.length === 1) setImmediate(() => this.notifyReader?.())
  }

  /** Ends the stream of envelopes; frames that have not been sent are discarded. */
  close (): void {
    this.isClosed = true
    this.notifyReader?.()
  }

  async * [Symbol.asyncIterator] (): AsyncGenerator<{ frames: Frame[] }> {
    while (!this.isClosed) {
      if (this.frames.length > 0) {
        const frames = this.frames
        this.frames = []
        yield { frames }
      } else {
        await new Promise<void>(resolve => { this.notifyReader = resolve })
        this.notifyReader = undefined
      }
    }
  }
}
