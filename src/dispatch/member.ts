/** A host that accepts requests of callers and whose scheduler can be selected. */
export interface Member {
  readonly host: string
  /** IP address and port at which its `DispatchListener` accepts connections of other hosts. */
  readonly address: string
  /** Number of processor cores that it may use; members with more of them rank higher in the scheduler selection. */
  readonly cores: number
}
