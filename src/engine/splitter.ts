const NEWLINE = 10

/** Splits a byte stream into server-sent events. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0)

  /** @param maxEventBytes - maximum size of an event */
  constructor (private readonly maxEventBytes: number) {}

  /**
   * Adds bytes of the stream.
   *
   * @param bytes - the next chunk, split at any position
   * @returns the events completed by the chunk; undefined if an incomplete event exceeds the maximum size
   */
  push (bytes: Buffer): Buffer[] | undefined {
    const buffered = this.remainder.length === 0 ? bytes : Buffer.concat([this.remainder, bytes])
    const events: Buffer[] = []
    let start = 0
    for (let newline = buffered.indexOf(NEWLINE); newline !== -1; newline = buffered.indexOf(NEWLINE, newline + 1)) {
      if (buffered[newline + 1] !== NEWLINE) continue
      events.push(buffered.subarray(start, newline + 2))
      start = newline + 2
      newline++
    }
    this.remainder = buffered.subarray(start)
    return this.remainder.length > this.maxEventBytes ? undefined : events
  }
}
