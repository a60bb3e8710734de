/** Most bytes of an answer under way to a reader that has not taken them, for one call. */
const WINDOW_BYTES = 256 << 10

/** Holds a sender back while its reader lags. */
export class Window {
  private pending = 0
  private wake: (() => void) | undefined

  /** @param bytes - sent just now */
  sent (bytes: number): void {
    this.pending += bytes
  }

  /** @param bytes - taken by the reader */
  taken (bytes: number): void {
    this.pending -= bytes
    this.wake?.()
  }

  /**
   * @param signal - ends the wait
   * @returns when more may be sent
   */
  async room (signal: AbortSignal): Promise<void> {
    while (this.pending >= WINDOW_BYTES && !signal.aborted) {
      await new Promise<void>(resolve => {
        this.wake = resolve
        signal.addEventListener('abort', () => resolve(), { once: true })
      })
    }
  }
}
