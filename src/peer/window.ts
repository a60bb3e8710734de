/** How many bytes of a response may be sent ahead of the receiver's acknowledgements, for one call. */
const SEND_WINDOW_BYTES = 256 << 10

/** Flow control: pauses the sender of a response while too many bytes are unacknowledged. */
export class SendWindow {
  private unacknowledgedBytes = 0
  private notifyWaiter: (() => void) | undefined

  /** @param bytes - how many bytes were sent */
  recordSent (bytes: number): void {
    this.unacknowledgedBytes += bytes
  }

  /** @param bytes - how many more bytes the receiver has acknowledged */
  recordAcknowledged (bytes: number): void {
    this.unacknowledgedBytes -= bytes
    this.notifyWaiter?.()
  }

  /**
   * Waits while the window is full.
   *
   * @param signal - ends the wait
   * @returns resolves once the window has capacity or the signal is aborted
   */
  async waitForCapacity (signal: AbortSignal): Promise<void> {
    while (this.unacknowledgedBytes >= SEND_WINDOW_BYTES && !signal.aborted) {
      await new Promise<void>(resolve => {
        this.notifyWaiter = resolve
        signal.addEventListener('abort', () => resolve(), { once: true })
      })
    }
  }
}
