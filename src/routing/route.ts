/** Which requests of a route may run more than once. */
export const RetrySafety = {
  /** A request may run any number of times. */
  safe: 'safe',
  /** A request may run at most once for each attempt of its caller. */
  unsafe: 'unsafe',
  /** The response is an event stream. A request may run at most once unless the route is resumable. */
  stream: 'stream'
} as const

/** One of the values of {@link RetrySafety}. */
export type RetrySafety = typeof RetrySafety[keyof typeof RetrySafety]

/** A service that gets a share of a route's requests. */
export interface Target {
  readonly service: string
  /** Share of the requests, relative to the weights of the other targets. */
  readonly weight: number
}

/** How requests with one host name and path prefix are served. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Path prefix, which begins and ends with a slash. */
  readonly prefix: string
  readonly retrySafety: RetrySafety
  /** Whether another server may continue a broken stream after its last event. */
  readonly isResumable: boolean
  /** Longest time until a request gets its final response, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective, in milliseconds: time to the response, or to the first event of a stream. */
  readonly objectiveMs: number
  /** Objective for the gap between two events of a stream, in milliseconds. */
  readonly maxEventGapMs: number
  /** Priority of the route's requests; 0 is the highest. */
  readonly rank: number
  /** Most servers to which one attempt of a caller may be sent. */
  readonly maxAttempts: number
  /** Whether requests need no API key. */
  readonly isPublic: boolean
  readonly targets: readonly Target[]
}

/**
 * @param route - the route of a request
 * @returns whether the request may be sent again after a server may have run it
 */
export function mayRetryAfterExecution (route: Route): boolean {
  return route.retrySafety === RetrySafety.safe || (route.retrySafety === RetrySafety.stream && route.isResumable)
}

/**
 * Chooses one of the route's services by weight.
 *
 * @param route - the route of a request
 * @param random - a random number from 0 up to but not including 1
 * @returns the name of the service; empty if the route has none
 */
export function chooseService (route: Route, random: number): string {
  const { targets } = route
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = random * total
  for (const target of targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return targets[targets.length - 1]?.service ?? ''
}
