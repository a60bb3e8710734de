/** What a crash is attributed to: the requests that ran on the server and broke. */
export interface CrashReport {
  /** Incarnation of the server that crashed. */
  readonly server: string
  /** Number of requests whose connection broke. */
  readonly requests: number
  /** Ids of the prompt parts that these requests may share with others. */
  readonly parts: readonly string[]
}

/** Is told what the detector concludes, for the log. */
export interface CrashObserver {
  /** @param report - a crash and what it is attributed to */
  serverCrashed (report: CrashReport): void
  /** @param part - a prompt part whose requests are refused from now on */
  partBlocked (part: string): void
  /** @param part - a prompt part that was blocked and turned out to be sound */
  partUnblocked (part: string): void
}

/** Ignores all conclusions. */
export const NO_OBSERVER: CrashObserver = {
  serverCrashed: () => undefined,
  partBlocked: () => undefined,
  partUnblocked: () => undefined
}
