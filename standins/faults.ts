/** Faults that a stand-in can be told to show, settable at run time. */
export interface Faults {
  /** Steps take this many times as long. */
  slow: number
  /** Nothing moves and nothing is answered. */
  frozen: boolean
  /** New requests are turned away with 503. */
  refuse: boolean
  /** Every so many tokens a stream is broken off; 0 for never. */
  dropEvery: number
  /** Events swap places with the ones before. */
  reorder: boolean
  /** Events are sent twice. */
  double: boolean
  /** Streams carry the events of another response, where there is one. */
  swap: boolean
  /** Answers end after this many tokens without their last event; 0 for never. */
  truncateAfter: number
  /** A prompt that holds this text ends the process; empty for none. */
  poison: string
}

/** No faults. */
export function healthy (): Faults {
  return {
    slow: 1,
    frozen: false,
    refuse: false,
    dropEvery: 0,
    reorder: false,
    double: false,
    swap: false,
    truncateAfter: 0,
    poison: ''
  }
}
