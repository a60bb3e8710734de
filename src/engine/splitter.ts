const NEWLINE = 10

/** Cuts a byte stream into server-sent events. */
export class Splitter {
  private rest: Buffer = Buffer.alloc(0)

  /**
   * @param greatestBytes - the longest event that is taken
   */
  constructor (private readonly greatestBytes: number) {}

  /**
   * Takes the next bytes.
   *
   * @param bytes - as they came
   * @returns the events that are whole by now, or undefined if one grew too long
   */
  push (bytes: Buffer): Buffer[] | undefined {
    const all = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes])
    const events: Buffer[] = []
    let start = 0
    for (let at = all.indexOf(NEWLINE); at !== -1; at = all.indexOf(NEWLINE, at + 1)) {
      if (all[at + 1] !== NEWLINE) continue
      events.push(all.subarray(start, at + 2))
      start = at + 2
      at++
    }
    this.rest = all.subarray(start)
    return this.rest.length > this.greatestBytes ? undefined : events
  }
}
