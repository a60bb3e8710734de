/** Number of recent samples of a server on a route of which the median is taken. */
const MAX_SAMPLES = 15

/** Passes over servers and routes to fit their factors; the fit changes by less than a percent after these. */
const FIT_PASSES = 6

/** The canary is slower if its servers take this many times as long on average as the stable ones ... */
const MEAN_FACTOR = 2

/** ... and its fastest server this many times as long as the fastest stable one. */
const FASTEST_FACTOR = 2.5

/** Canary responses, and servers of each side if the side has so many, without which the canary is not judged. */
const MIN_CANARY_SAMPLES = 6
const MIN_SERVERS = 2

interface ServerSamples {
  readonly isCanary: boolean
  /** Logarithms of recent latencies by route. */
  readonly logsByRoute: Map<string, number[]>
}

/** Median of the logarithms of one server's latencies on one route. */
interface Cell {
  readonly server: string
  readonly route: string
  readonly log: number
}

/**
 * Compares the speed of the canary's servers with that of the stable ones. Servers differ in speed whatever their
 * version, by more than a faulty version may slow them down, and so do routes. Each latency is therefore taken as the
 * product of a factor of its server and one of its route, and the servers' factors are compared between the sides.
 */
export class SpeedComparison {
  private readonly servers = new Map<string, ServerSamples>()
  private canarySamples = 0

  /**
   * Adds the latency of one response.
   *
   * @param route - name of its route
   * @param server - id of its server
   * @param isCanary - whether the server runs the canary version
   * @param latencyMs - mean gap between events, or duration of the call, in milliseconds
   */
  record (route: string, server: string, isCanary: boolean, latencyMs: number): void {
    if (latencyMs <= 0) return
    if (isCanary) this.canarySamples++
    let samples = this.servers.get(server)
    if (samples === undefined) {
      samples = { isCanary, logsByRoute: new Map() }
      this.servers.set(server, samples)
    }
    const logs = samples.logsByRoute.get(route) ?? []
    samples.logsByRoute.set(route, logs)
    logs.push(Math.log(latencyMs))
    if (logs.length > MAX_SAMPLES) logs.shift()
  }

  /** Whether the canary is slower than the servers' differences in speed explain. */
  get isCanarySlower (): boolean {
    if (this.canarySamples < MIN_CANARY_SAMPLES) return false
    const factors = this.fitServerFactors()
    const ofSide = (isCanary: boolean): number[] =>
      [...factors].filter(([id]) => this.servers.get(id)!.isCanary === isCanary).map(([, factor]) => factor)
    const canary = ofSide(true)
    const stable = ofSide(false)
    if (canary.length < MIN_SERVERS || stable.length < MIN_SERVERS) return false
    return mean(canary) - mean(stable) > Math.log(MEAN_FACTOR) &&
      Math.min(...canary) - Math.min(...stable) > Math.log(FASTEST_FACTOR)
  }

  /** @returns the logarithm of each server's factor */
  private fitServerFactors (): Map<string, number> {
    const cells: Cell[] = []
    for (const [server, { logsByRoute }] of this.servers) {
      for (const [route, logs] of logsByRoute) cells.push({ server, route, log: median(logs) })
    }
    let serverFactors = new Map<string, number>()
    for (let pass = 0; pass < FIT_PASSES; pass++) {
      const routeFactors = meanBy(cells, cell => cell.route, cell => cell.log - (serverFactors.get(cell.server) ?? 0))
      serverFactors = meanBy(cells, cell => cell.server, cell => cell.log - routeFactors.get(cell.route)!)
    }
    return serverFactors
  }
}

function meanBy (
  cells: readonly Cell[], keyOf: (cell: Cell) => string, valueOf: (cell: Cell) => number
): Map<string, number> {
  const sums = new Map<string, { total: number, count: number }>()
  for (const cell of cells) {
    const sum = sums.get(keyOf(cell)) ?? { total: 0, count: 0 }
    sum.total += valueOf(cell)
    sum.count++
    sums.set(keyOf(cell), sum)
  }
  return new Map([...sums].map(([key, { total, count }]) => [key, total / count]))
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 1]!
}
