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

/** A request that ran on servers that crashed, at another scheduler. */
export interface CrashedRequestSummary {
  /** Equal for requests with the same path, organisation and body. */
  readonly fingerprint: string
  /** Incarnations of the servers that crashed. */
  readonly servers: readonly string[]
  /** Time since the latest of these crashes was detected, in milliseconds. */
  readonly ageMs: number
}

/** A request of another scheduler whose connection broke, while it is not known yet whether its server crashed. */
export interface DisconnectSummary {
  readonly fingerprint: string
  /** Prompt parts that other requests may share. */
  readonly parts: readonly string[]
  /** Incarnation of the server that ran it. */
  readonly server: string
  /** Time since the server was granted, in milliseconds. */
  readonly grantedAgeMs: number
  /** Time since the connection broke, in milliseconds. */
  readonly ageMs: number
}

/** What a scheduler knows of crashes, as schedulers exchange it. */
export interface CrashEvidence {
  readonly crashes: readonly CrashSummary[]
  readonly blocked: readonly BlockedPartSummary[]
  readonly requests: readonly CrashedRequestSummary[]
  readonly disconnects: readonly DisconnectSummary[]
}
