/** Backend servers that do the same work. */
export interface BackendService {
  readonly name: string
  /** Most connections that one of its servers takes from all hosts. */
  readonly connections: number
  /** Tokens that a model engine's memory holds; undefined for a plain service. */
  readonly memoryTokens: number | undefined
  /** Requests that one engine runs at once; undefined for a plain service. */
  readonly slots: number | undefined
  /** Tokens that one event of a stream holds. */
  readonly tokensPerEvent: number
}
