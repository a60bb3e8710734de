/** A source of the present time. Only code at the edge reads it; decisions take the time as an argument. */
export interface Clock {
  /** @returns the present time, in milliseconds since the epoch */
  now (): number
}

/** The machine's own clock. */
export class SystemClock implements Clock {
  now (): number {
    return Date.now()
  }
}
