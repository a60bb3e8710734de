/** Limits on the number of requests that a faulty canary may get. */
export interface ExposureLimits {
  /** Share of all requests of the service, from 0 to 1. */
  readonly share: number
  /** Number of requests that are allowed on top of the share. */
  readonly slack: number
}

/**
 * Fractions of the two limits that are used. A newly selected scheduler starts with the full slack again, and applies
 * the share only to the requests that it has scheduled or adopted itself.
 */
const USABLE_SHARE = 0.8
const USABLE_SLACK = 0.3

/** Fractions of the two limits that are used for the canary phase; the rest is for the switch-over at its end. */
const CANARY_PHASE_SHARE = 0.4
const CANARY_PHASE_SLACK = 0.1

/** Canary requests that each route gets beyond its share. */
const INITIAL_REQUESTS_PER_ROUTE = 2

/** Counts the requests of a service and those that went to the canary, and keeps the latter within the limits. */
export class CanaryExposure {
  private requests = 0
  private exposed = 0
  private readonly byRoute = new Map<string, { requests: number, exposed: number }>()

  /**
   * @param limits - how many requests may go to the canary
   * @param reservedShare - share of all requests that is reserved for the end of the migration
   */
  constructor (private readonly limits: ExposureLimits, private readonly reservedShare: number) {}

  /**
   * Counts a request that is sent to a server.
   *
   * @param route - name of the request's route
   * @param isCanary - whether the server runs the canary version
   */
  record (route: string, isCanary: boolean): void {
    const counts = this.routeCounts(route)
    counts.requests++
    this.requests++
    if (!isCanary) return
    counts.exposed++
    this.exposed++
  }

  /**
   * @param route - name of the request's route
   * @returns whether the route's next request should go to the canary
   */
  isCanaryDue (route: string): boolean {
    const { requests, exposed } = this.routeCounts(route)
    const share = CANARY_PHASE_SHARE * this.limits.share
    // Each route gets its share from its first request on, so that a version that fails on one route only is detected.
    const totalLimit = share * this.requests + CANARY_PHASE_SLACK * this.limits.slack
    return exposed < INITIAL_REQUESTS_PER_ROUTE + share * requests && this.exposed < totalLimit
  }

  /** Whether the limits allow another canary request. */
  get hasBudget (): boolean {
    const share = USABLE_SHARE * this.limits.share - this.reservedShare
    return this.exposed < share * this.requests + USABLE_SLACK * this.limits.slack
  }

  private routeCounts (route: string): { requests: number, exposed: number } {
    let counts = this.byRoute.get(route)
    if (counts === undefined) {
      counts = { requests: 0, exposed: 0 }
      this.byRoute.set(route, counts)
    }
    return counts
  }
}
