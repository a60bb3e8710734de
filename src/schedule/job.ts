/** One attempt of a caller as the scheduler sees it. Times are steady milliseconds of the scheduler's host. */
export interface Job {
  /** Unique over all hosts. */
  readonly id: string
  readonly service: string
  /** Name of its route. */
  readonly route: string
  /** Alike for requests with the same path, organisation and body. */
  readonly fingerprint: string
  /** Rank of its organisation, compared before its own; 0 is the highest. */
  readonly organisationRank: number
  /** Which work goes first: 0 is the highest rank. */
  readonly rank: number
  /** Whose allowance it counts against, if any. */
  readonly organisation: string | undefined
  /** What it counts, in the organisation's unit. */
  readonly units: number
  /** Tokens that a model engine must read; 0 for plain services. */
  readonly promptTokens: number
  /** Events that its answer is expected to have; 0 for plain services. */
  readonly events: number
  /** When it arrived at its host. */
  readonly arrivedAt: number
  /** When its latency objective passes, counted from its caller's first attempt as far as that is known. */
  readonly lateAt: number
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number
  /** Longest pause between events that is on time, in milliseconds; 0 for plain services. */
  readonly pauseMs: number
  /** When its caller stops waiting. */
  readonly deadlineAt: number
  /** Where the asking host is. */
  readonly dataCentre: string
  /** Servers that it may not be sent to again. */
  readonly avoided: readonly string[]
  /** Whether it was sent to a server before, and so draws on the budget of repeats. */
  readonly isRepeat: boolean
  /** Whether its units were already taken from the allowance. */
  readonly isCharged: boolean
}

/**
 * @param a - a job
 * @param b - another job
 * @returns whether the first one ranks below the second: by its organisation, or by itself among equals
 */
export function ranksBelow (a: Job, b: Job): boolean {
  return a.organisationRank === b.organisationRank ? a.rank > b.rank : a.organisationRank > b.organisationRank
}
