/** What may be repeated of a request. */
export const Repeat = {
  /** May run any number of times. */
  safe: 'safe',
  /** May run once at most for each attempt of its caller. */
  unsafe: 'unsafe',
  /** Answers with events; may run once at most unless the route can be resumed. */
  stream: 'stream'
} as const

/** One of the values of {@link Repeat}. */
export type Repeat = typeof Repeat[keyof typeof Repeat]

/** A service that gets part of a route's requests. */
export interface Target {
  readonly service: string
  /** Its part of the requests, relative to the other targets. */
  readonly weight: number
}

/** Requests of one host name and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly repeat: Repeat
  /** Whether a broken stream may go on at another server after its last event. */
  readonly isResumable: boolean
  /** The longest that a request may be kept waiting for its final answer, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective: to the answer, of streams to the first event; in milliseconds. */
  readonly objectiveMs: number
  /** The longest pause between events that is still on time, in milliseconds. */
  readonly pauseMs: number
  /** Which work goes first: 0 is the highest rank. */
  readonly rank: number
  /** To how many servers one attempt of a caller may be sent. */
  readonly attempts: number
  /** Whether requests need no key. */
  readonly isPublic: boolean
  readonly targets: readonly Target[]
}

/**
 * @param route - a route
 * @returns whether a request that may have run may be sent again
 */
export function mayRepeat (route: Route): boolean {
  return route.repeat === Repeat.safe || (route.repeat === Repeat.stream && route.isResumable)
}
