/** One attempt of a caller's request. Times are monotonic milliseconds of the scheduler's host. */
export interface Job {
  /** Unique over all hosts. */
  readonly id: string
  readonly service: string
  /** Name of the request's route. */
  readonly route: string
  /** Equal for requests with the same path, organisation and body. */
  readonly fingerprint: string
  /** Ids of the parts of the prompt that other requests may share; empty for plain services. */
  readonly sharedPromptParts: readonly string[]
  /** Rank of the organisation, compared before the job's own rank; 0 is the highest. */
  readonly organisationRank: number
  /** The job's own rank; 0 is the highest. */
  readonly rank: number
  /** Organisation whose quota the job counts against, if any. */
  readonly organisation: string | undefined
  /** Quota units that the job uses. */
  readonly units: number
  /** Length of the prompt for a model engine; 0 for plain services. */
  readonly promptTokens: number
  /** Expected number of events in the response; 0 for plain services. */
  readonly expectedEvents: number
  /** When the request arrived at its entry host. */
  readonly arrivedAt: number
  /** When the latency objective passes, counted from the caller's first attempt if that is known. */
  readonly objectiveAt: number
  /** Latency objective, in milliseconds. */
  readonly objectiveMs: number
  /** Longest gap between events that meets the objective, in milliseconds; 0 for plain services. */
  readonly maxEventGapMs: number
  /** When the caller stops waiting. */
  readonly deadlineAt: number
  /** Data centre of the entry host. */
  readonly dataCentre: string
  /** Ids of the servers that the job may not be sent to again. */
  readonly excludedServers: readonly string[]
  /** Whether its host reports a limit of requests that the server states. */
  readonly reportsLimits: boolean
  /** Whether the request was sent to a server before, so that the job counts against the retry budget. */
  readonly isRetry: boolean
  /** Whether the units were already taken from the quota. */
  readonly isCharged: boolean
}

/**
 * @param job - a job that waits for a slot
 * @param now - monotonic time, in milliseconds
 * @returns whether it has missed its objective
 */
export function isLate (job: Job, now: number): boolean {
  return job.objectiveAt <= now
}

/**
 * @param a - a job
 * @param b - another job
 * @returns whether the first job ranks below the second, by organisation and then by the job's own rank
 */
export function ranksBelow (a: Job, b: Job): boolean {
  return a.organisationRank === b.organisationRank ? a.rank > b.rank : a.organisationRank > b.organisationRank
}
