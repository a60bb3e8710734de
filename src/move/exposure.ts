/** How many requests a version that turns out bad may have had, as operators bear it. */
export interface ExposureBounds {
  /** Part of all requests of the service. */
  readonly part: number
  /** Requests beside that part. */
  readonly slack: number
}

/** Parts of the bound that are used: every scheduler has the slack anew, while the part counts what each one sees. */
const USED_PART = 0.8
const USED_SLACK = 0.3

/** Parts of the bound that are used for the trial; the rest is for the change-over at its end. */
const TRIAL_PART = 0.4
const TRIAL_SLACK = 0.1

/** Requests of each route that try the version before its part is counted. */
const FIRST_REQUESTS = 2

/** Counts the requests of a service and those that a version on trial got. */
export class Exposure {
  private requests = 0
  private exposed = 0
  private readonly byRoute = new Map<string, { requests: number, exposed: number }>()

  /**
   * @param bounds - how many requests may be exposed
   * @param keptPart - part of all requests that is kept for the end of the move
   */
  constructor (private readonly bounds: ExposureBounds, private readonly keptPart: number) {}

  /**
   * @param route - of a request that goes to a server
   * @param isFresh - whether the server has the version on trial
   */
  count (route: string, isFresh: boolean): void {
    const counts = this.of(route)
    counts.requests++
    this.requests++
    if (!isFresh) return
    counts.exposed++
    this.exposed++
  }

  /**
   * @param route - of a request
   * @returns whether it is this route's turn to try the version
   */
  isTrialDue (route: string): boolean {
    const { requests, exposed } = this.of(route)
    const part = TRIAL_PART * this.bounds.part
    // Each route gets its part, beginning with its first request, so that a version that fails on one is found out.
    const mostOfAll = part * this.requests + TRIAL_SLACK * this.bounds.slack
    return exposed < FIRST_REQUESTS + part * requests && this.exposed < mostOfAll
  }

  /** Whether any more requests may go to the version. */
  get isLeft (): boolean {
    const part = USED_PART * this.bounds.part - this.keptPart
    return this.exposed < part * this.requests + USED_SLACK * this.bounds.slack
  }

  private of (route: string): { requests: number, exposed: number } {
    let counts = this.byRoute.get(route)
    if (counts === undefined) {
      counts = { requests: 0, exposed: 0 }
      this.byRoute.set(route, counts)
    }
    return counts
  }
}
