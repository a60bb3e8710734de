import { ByteBuffer } from '../base/index.js'

const NEWLINE = 10

/** Splits a byte stream into server-sent events. */
export class EventSplitter {
  /** The bytes after the last complete event. They contain no end of an event. */
  private remainder = new ByteBuffer()

  /** @param maxEventBytes - maximum size of an event */
  constructor (private readonly maxEventBytes: number) {}

  /** Memory of the incomplete event, in bytes. */
  get bufferedBytes (): number {
    return this.remainder.capacity
  }

  /**
   * Adds bytes of the stream.
   *
   * @param bytes - the next chunk, split at any position
   * @returns the events completed by the chunk; undefined if an incomplete event exceeds the maximum size
   */
  push (bytes: Buffer): Buffer[] | undefined {
    const buffered = this.join(bytes)
    const events: Buffer[] = []
    // The end of an event may begin with the last byte before the chunk.
    const searchStart = Math.max(0, buffered.length - bytes.length - 1)
    let start = 0
    for (let newline = buffered.indexOf(NEWLINE, searchStart); newline !== -1;
      newline = buffered.indexOf(NEWLINE, newline + 1)) {
      if (buffered[newline + 1] !== NEWLINE) continue
      events.push(buffered.subarray(start, newline + 2))
      start = newline + 2
      newline++
    }
    if (buffered === bytes || start > 0) this.keep(buffered.subarray(start))
    return this.remainder.length > this.maxEventBytes ? undefined : events
  }

  /** Returns the remainder and the chunk in one buffer, which is the chunk itself if nothing remained. */
  private join (bytes: Buffer): Buffer {
    if (this.remainder.length === 0) return bytes
    this.remainder.append(bytes)
    return this.remainder.bytes
  }

  /** Copies the bytes after the last event to a new buffer, since the events refer to the old one. */
  private keep (bytes: Buffer): void {
    this.remainder = new ByteBuffer()
    if (bytes.length > 0) this.remainder.append(bytes)
  }
}
