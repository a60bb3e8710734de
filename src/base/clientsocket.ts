import { Socket } from 'node:net'

const NO_BYTES = Buffer.alloc(0)

/** Error code of a write to a connection that was reset. */
const RESET_CODE = 'ECONNRESET'

/** Error code of a write to a connection that was reset after the other side had ended it. */
const ENDED_CODE = 'EPIPE'

/**
 * A TCP connection of an HTTP client on which a reset does not pass for the end of a response without a length. Node
 * emits `end` for a reset that arrives in one turn of the event loop with the last bytes, and undici takes ECONNRESET
 * for the end of such a response. The socket is destroyed once its end was reported.
 */
export class ClientSocket extends Socket {
  private isCheckingEnd = false

  constructor () {
    // The connection can be checked after its end only if it can still be written to.
    super({ allowHalfOpen: true })
  }

  override emit (event: string | symbol, ...values: unknown[]): boolean {
    if (event !== 'end') return super.emit(event as string, ...values)
    this.checkEnd()
    return true
  }

  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    super._destroy(this.toReported(error), callback)
  }

  /** Reports the end unless the connection was reset, which the destruction of the socket reports. */
  private checkEnd (): void {
    this.isCheckingEnd = true
    if (!this.writable) this.reportEnd()
    // The system returns the error of a connection to the next write, here to the one that is pending, in this turn.
    else if (this.writableLength > 0) setImmediate(() => this.reportEnd())
    // Sends nothing.
    else this.write(NO_BYTES, error => { if (error == null || hasCode(error, ENDED_CODE)) this.reportEnd() })
  }

  private reportEnd (): void {
    if (this.destroyed) return
    super.emit('end')
    this.destroy()
  }

  private toReported (error: Error | null): Error | null {
    if (this.isCheckingEnd && hasCode(error, ENDED_CODE)) return null
    return hasCode(error, RESET_CODE) ? new Error('the connection was reset', { cause: error }) : error
  }
}

function hasCode (error: Error | null, code: string): boolean {
  return (error as NodeJS.ErrnoException | null)?.code === code
}
