import { isSignificantlyWorse, type ResponseCounts } from './counts.js'
import { LatencyBaselines } from './latency.js'
import { SpeedComparison } from './speedcomparison.js'

/** Outcome of one request, as evidence for or against the version of its server. */
export interface Observation {
  readonly route: string
  readonly server: string
  /** Whether the server runs the canary version. */
  readonly isCanary: boolean
  readonly isFailure: boolean
  /** Whether the connection was lost, which ends all requests on the server at once. */
  readonly isConnectionLoss: boolean
  /** Mean gap between events, or duration of the call, in milliseconds; undefined if unknown. */
  readonly latencyMs: number | undefined
}

/** Lost connections of one server within this time count as one failure, in milliseconds: they come from one crash. */
const LOSS_WINDOW_MS = 250

interface RouteAnalysis {
  readonly canary: ResponseCounts
  readonly stable: ResponseCounts
  readonly latencies: LatencyBaselines
}

/** Compares the responses of the canary version with those of the stable versions, by route and in total. */
export class CanaryAnalysis {
  private readonly routes = new Map<string, RouteAnalysis>()
  private readonly total = { canary: { responses: 0, bad: 0 }, stable: { responses: 0, bad: 0 } }
  private readonly lastLossAt = new Map<string, number>()
  private readonly speeds = new SpeedComparison()
  private isCanarySlower = false

  /** Number of canary responses that neither failed nor were slow. */
  get healthyResponses (): number {
    return this.total.canary.responses - this.total.canary.bad
  }

  /**
   * Whether the canary is slower than the stable versions, or has significantly more bad responses on any route or in
   * total.
   */
  get isCanaryWorse (): boolean {
    if (this.isCanarySlower || isSignificantlyWorse(this.total.canary, this.total.stable)) return true
    for (const { canary, stable } of this.routes.values()) if (isSignificantlyWorse(canary, stable)) return true
    return false
  }

  /**
   * @param canaryServers - number of servers of the canary that got requests
   * @returns whether the canary is so fast that it can't be a version several times as slow as the stable ones, or its
   *   speed can't be compared
   */
  isSlowRuledOut (canaryServers: number): boolean {
    return this.speeds.isSlowRuledOut(canaryServers)
  }

  /**
   * Counts the outcome of a request, and whether it was slow.
   *
   * @param observation - the outcome
   * @param now - monotonic time, in milliseconds
   */
  record (observation: Observation, now: number): void {
    if (observation.isConnectionLoss) {
      const previousLossAt = this.lastLossAt.get(observation.server)
      this.lastLossAt.set(observation.server, now)
      if (previousLossAt !== undefined && now - previousLossAt < LOSS_WINDOW_MS) return
    }
    if (!observation.isFailure) this.compareSpeeds(observation)
    const route = this.routeAnalysis(observation.route)
    const isSlow = observation.latencyMs !== undefined &&
      route.latencies.record(observation.server, observation.latencyMs)
    const side = observation.isCanary ? 'canary' : 'stable'
    for (const counts of [route[side], this.total[side]]) {
      counts.responses++
      if (observation.isFailure || isSlow) counts.bad++
    }
  }

  private compareSpeeds ({ route, server, isCanary, latencyMs }: Observation): void {
    if (latencyMs === undefined) return
    this.speeds.record(route, server, isCanary, latencyMs)
    if (isCanary) this.isCanarySlower = this.speeds.isCanarySlower
  }

  private routeAnalysis (name: string): RouteAnalysis {
    let route = this.routes.get(name)
    if (route === undefined) {
      route = {
        canary: { responses: 0, bad: 0 }, stable: { responses: 0, bad: 0 }, latencies: new LatencyBaselines()
      }
      this.routes.set(name, route)
    }
    return route
  }
}
