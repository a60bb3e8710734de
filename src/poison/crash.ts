/** A crash of a server that no blocked prompt part explains. */
export interface Crash {
  /** Incarnation of the server that crashed. */
  readonly server: string
  /** Prompt parts of the interrupted requests that no complete response has cleared since. */
  readonly parts: Set<string>
  /** When the crash was detected, in milliseconds of monotonic time. */
  readonly at: number
}

/** A prompt part whose requests are refused. */
export interface BlockedPart {
  /** Incarnations of the servers that crashed. */
  readonly servers: Set<string>
  /** Since when the part is blocked, in milliseconds of monotonic time. */
  readonly at: number
}
