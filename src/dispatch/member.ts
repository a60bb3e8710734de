/** A host that takes traffic and whose scheduler can be asked. */
export interface Member {
  readonly host: string
  /** IP number and port at which other hosts link to it. */
  readonly address: string
  /** How many processor cores it may use; whoever has most schedules for all. */
  readonly cores: number
}
