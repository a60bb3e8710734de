/** Names of the headers that mean something to the scheduler, in lower case. The adapter states them. */
export interface HeaderNames {
  /** Id of the caller's attempt, echoed in answers. */
  readonly attempt: string
  /** How long the caller waits, in milliseconds. */
  readonly deadline: string
  /** The caller's key. */
  readonly key: string
  /** Name of the organisation that holds the key; set for the server. */
  readonly organisation: string
  /** Id of the server that is meant; set for the server. */
  readonly server: string
  /** Tells in an answer that the server did not run the request. */
  readonly notRun: string
  /** Number of the last event that was received. */
  readonly lastEvent: string
  /** Prompt tokens and most output tokens, with a comma between. */
  readonly usage: string
  /** The caller's estimate of the answer's tokens. */
  readonly lengthHint: string
  /** Names that callers may not set. */
  readonly reserved: readonly string[]
}
