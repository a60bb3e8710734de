import { ClientSocket } from '../base/index.js'

/**
 * Most bytes that are handed to the HTTP parser at once, in bytes. The parser runs through all of them even if the
 * response is aborted meanwhile.
 */
const MAX_READ_BYTES = 4 << 10

/** A connection's socket, which reports each read of the HTTP parser before it happens. */
export class ServerSocket extends ClientSocket {
  private isHeld = false

  /** @param onReading - called before bytes are handed to the parser; may destroy the socket */
  constructor (private readonly onReading: () => void) {
    super()
  }

  /**
   * Keeps further bytes from the parser. The parser itself is never paused: it fails an assertion, which ends the
   * process, if the connection ends meanwhile and marks the end of the response.
   */
  hold (): void {
    this.isHeld = true
  }

  /** Lets the parser have the bytes that were kept from it. May be called while the parser runs, so it reads later. */
  release (): void {
    if (!this.isHeld) return
    this.isHeld = false
    process.nextTick(() => { if (!this.destroyed) this.emit('readable') })
  }

  /** Number of bytes that the parser has received. */
  get parsedBytes (): number {
    return this.bytesRead - this.readableLength
  }

  override read (size?: number): unknown {
    if (size !== undefined || this.readableLength === 0) return super.read(size)
    if (this.isHeld) return null
    this.onReading()
    if (this.destroyed) return null
    return super.read(Math.min(this.readableLength, MAX_READ_BYTES))
  }
}
