/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** Longest time for a request's head, in milliseconds. */
  readonly headerTimeoutMs: number
  /** How long a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number
}
