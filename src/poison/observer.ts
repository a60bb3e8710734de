/** What a crash is attributed to: the requests that ran on the server and broke. */
export interface CrashReport {
  /** Id of the server that crashed. */
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
}

/** Ignores all conclusions. */
export const NO_OBSERVER: CrashObserver = { serverCrashed: () => undefined }
