/** A group of backend servers that serve the same requests. */
export interface BackendService {
  readonly name: string
  /** Most connections that one of its servers accepts from all hosts together. */
  readonly maxConnections: number
  /** Capacity of a model engine's key-value cache, in tokens; undefined if the servers are not model engines. */
  readonly kvCacheTokens: number | undefined
  /** Requests that one model engine runs at once; undefined if the servers are not model engines. */
  readonly slots: number | undefined
  /** Requests per second that one of its servers tolerates while it is cold; 0 if it needs no bound. */
  readonly coldRequestsPerS: number
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number
}
