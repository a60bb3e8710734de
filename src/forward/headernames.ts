/** Names of the headers that the scheduler reads or sets, in lower case. The platform's adapter provides them. */
export interface HeaderNames {
  /** Id of the caller's attempt; responses echo it. */
  readonly attemptId: string
  /** How long the caller waits for the response, in milliseconds. */
  readonly deadline: string
  /** The caller's key. */
  readonly key: string
  /** Name of the organisation that the key belongs to; added to the request to the server. */
  readonly organisation: string
  /** Id of the server that the request is meant for; added to the request to the server. */
  readonly serverId: string
  /** Set in a response if the server did not run the request. */
  readonly notRun: string
  /** Requests per second that a server accepts from all hosts together; set in its responses while it is in need. */
  readonly requestLimit: string
  /** Rejections for want of room per second that a server endures; set in its responses while it is brittle. */
  readonly brittleness: string
  /** Set to 1 in responses of a server that leaves. */
  readonly leaving: string
  /** Id of the last event that the caller received. */
  readonly lastEventId: string
  /** Number of prompt tokens and greatest number of output tokens, separated by a comma. */
  readonly tokenUsage: string
  /** Parts of the prompt in order, as ID:TOKENS entries separated by commas. */
  readonly promptParts: string
  /** The caller's estimate of the number of tokens in the response. */
  readonly lengthHint: string
  /** Headers that servers accept only from the system itself; they are removed from callers' requests. */
  readonly reserved: readonly string[]
}
