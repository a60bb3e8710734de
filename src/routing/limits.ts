/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  /** Largest size of a request's header block, in bytes. */
  readonly maxHeaderBytes: number
  /** Largest size of a request's body, in bytes. */
  readonly maxBodyBytes: number
  /** Longest time in which a request's header block must arrive, in milliseconds. */
  readonly headerTimeoutMs: number
  /** How long a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number
}
