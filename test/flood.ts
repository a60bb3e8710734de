import type { Socket } from 'node:net'
import type { Script } from './rig.js'

/** Bytes after which a flood stops, so that a test ends if nothing closes the connection; in bytes. */
const MAX_FLOOD_BYTES = 64 << 20

/** Bytes that are passed to a socket at once, in bytes. */
const WRITE_BYTES = 64 << 10

const blocks = new Map<string, Buffer>()

/** Returns many units in one buffer, which all floods share so that tests measure the memory of the gateway. */
function blockOf (unit: string): Buffer {
  const block = blocks.get(unit) ??
    Buffer.from(unit.repeat(Math.max(1, Math.floor(WRITE_BYTES / unit.length))), 'latin1')
  blocks.set(unit, block)
  return block
}

/** Sends the same bytes to a connection as fast as the other end reads them, until the connection is closed. */
export class Flood {
  /** Bytes that were passed to the connection. */
  sentBytes = 0
  /** Whether the connection was closed before the flood was complete. */
  wasClosed = false
  private readonly block: Buffer

  /**
   * @param socket - the connection
   * @param start - bytes that are sent once
   * @param unit - bytes that are sent again and again
   */
  constructor (private readonly socket: Socket, start: string, unit: string) {
    this.block = blockOf(unit)
    socket.on('close', () => { this.wasClosed = true })
    socket.on('drain', () => this.write())
    socket.write(start, 'latin1')
    this.write()
  }

  private write (): void {
    while (this.sentBytes < MAX_FLOOD_BYTES && !this.socket.destroyed) {
      this.sentBytes += this.block.length
      if (!this.socket.write(this.block)) return
    }
  }
}

/** Starts a flood for each request and keeps them. */
export class FloodingScript {
  readonly floods: Flood[] = []

  constructor (private readonly start: string, private readonly unit: string) {}

  get script (): Script {
    return (_, __, socket) => { this.floods.push(new Flood(socket, this.start, this.unit)) }
  }
}

/** Sends one byte at a time, at an interval, until the connection is closed. */
export function drip (socket: Socket, start: string, unit: string, intervalMs: number): void {
  let at = 0
  socket.write(start, 'latin1')
  const timer = setInterval(() => socket.write(unit[at++ % unit.length]!, 'latin1'), intervalMs)
  socket.on('close', () => clearInterval(timer))
}
