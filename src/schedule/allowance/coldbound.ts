/** How far requests to a cold server may exceed the rate that its service's configuration states. */
export interface ColdOvershoot {
  /** Multiple of the rate. */
  readonly factor: number
  /** Requests beyond that in any second. */
  readonly slack: number
}

/** The bound on requests to each cold server of a service. */
export class ColdBound {
  /** Requests in any second, over all hosts; undefined if cold servers are not bounded. */
  requests: number | undefined

  /** @param overshoot - how far the configured rate may be exceeded; undefined if the settings state no bound */
  constructor (private readonly overshoot: ColdOvershoot | undefined) {}

  /** @param requestsPerS - the rate that a cold server tolerates, as configured; 0 if it needs no bound */
  setRate (requestsPerS: number): void {
    const { overshoot } = this
    const isBounded = overshoot !== undefined && requestsPerS > 0
    this.requests = isBounded ? requestsPerS * overshoot.factor + overshoot.slack : undefined
  }
}
