/** A crash that another scheduler recorded. */
export interface CrashSummary {
  /** Incarnation of the server that crashed. */
  readonly server: string
  /** Prompt parts that may have caused the crash. */
  readonly parts: readonly string[]
  /** Time since the crash was detected, in milliseconds. */
  readonly ageMs: number
}

/** A prompt part that another scheduler blocked. */
export interface BlockedPartSummary {
  readonly part: string
  /** Incarnations of the servers that crashed. */
  readonly servers: readonly string[]
  /** Time since the part was blocked, in milliseconds. */
  readonly ageMs: number
}

/** What a scheduler knows of crashes, as schedulers exchange it. */
export interface CrashEvidence {
  readonly crashes: readonly CrashSummary[]
  readonly blocked: readonly BlockedPartSummary[]
}
