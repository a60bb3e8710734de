import { EngineSpeeds } from './enginespeeds.js'
import { mean } from './mean.js'

/** Number of recent samples of a server on a route that are compared. */
const MAX_SAMPLES = 15

/** Passes over servers and routes to fit their factors; the fit changes by less than a percent after these. */
const FIT_PASSES = 6

/** Canary responses without which the canary is not judged. */
const MIN_CANARY_SAMPLES = 6

/** A version this many times as slow as the stable ones must not be taken for as fast. */
const SLOW_FACTOR = 3

/**
 * How many times as likely the canary's speeds must be for a slow version than for one as fast as the stable ones to
 * end the migration at once. High, since the comparison is repeated after each response.
 */
const SLOW_RATIO = 1_000

/**
 * How many times as likely they must be for a version as fast as the stable ones to complete the migration: a slow one
 * reaches this in fewer draws of its engines than one in so many.
 */
const FAST_RATIO = 250

/** Servers that each side must have for a comparison: a single one may be of any kind of engine. */
const MIN_SERVERS = 2

interface ServerSamples {
  readonly isCanary: boolean
  /** Logarithms of recent latencies by route. */
  readonly logsByRoute: Map<string, number[]>
}

/** Recent latencies of one server on one route. */
interface Cell {
  readonly server: string
  readonly route: string
  readonly isCanary: boolean
  /** Mean of their logarithms. */
  readonly log: number
  readonly samples: number
}

/**
 * Compares the speed of the canary's servers with that of the stable ones. Servers differ in speed whatever their
 * version, by more than a faulty version may slow them down, and so do routes. Each latency is therefore taken as the
 * product of a factor of its server and one of its route, and the servers' factors are compared between the sides.
 */
export class SpeedComparison {
  private readonly servers = new Map<string, ServerSamples>()

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

  /** Whether the canary is slower than the servers' differences in speed explain, on one route or in total. */
  get isCanarySlower (): boolean {
    const cells = this.cells()
    const routes = new Set(cells.map(({ route }) => route))
    return [cells, ...[...routes].map(route => cells.filter(cell => cell.route === route))]
      .some(each => (this.compareSides(each)?.logRatio ?? 0) < -Math.log(SLOW_RATIO))
  }

  /**
   * Whether the canary's speeds are far more likely for a version as fast as the stable ones than for a slow one. With
   * few servers on either side chance alone may make their engines unlike, and many versions stay in doubt. True if a
   * side has only one server, since nothing could be ruled out then.
   *
   * @param canaryServers - number of servers of the canary that got requests, measured or not
   */
  isSlowRuledOut (canaryServers: number): boolean {
    const cells = this.cells()
    const stableServers = new Set(cells.filter(({ isCanary }) => !isCanary).map(({ server }) => server)).size
    if (canaryServers < MIN_SERVERS || stableServers < MIN_SERVERS) return true
    const comparison = this.compareSides(cells)
    if (comparison === undefined || comparison.canaryServers < MIN_SERVERS) return false
    return comparison.logRatio > Math.log(FAST_RATIO)
  }

  /**
   * @param cells - the cells to compare
   * @returns the logarithm of how many times as likely the canary's speeds are for a version as fast as the stable ones
   *   than for a slow one, and the number of its servers; undefined if there are too few samples
   */
  private compareSides (
    cells: readonly Cell[]
  ): { readonly logRatio: number, readonly canaryServers: number } | undefined {
    const canaryCells = cells.filter(({ isCanary }) => isCanary)
    if (canaryCells.reduce((sum, { samples }) => sum + samples, 0) < MIN_CANARY_SAMPLES) return undefined
    if (canaryCells.length === cells.length) return undefined
    const factors = fitServerFactors(cells)
    const canaryServers = new Set(canaryCells.map(({ server }) => server))
    const ofSide = (isCanary: boolean): number[] =>
      [...factors].filter(([id]) => canaryServers.has(id) === isCanary).map(([, factor]) => factor)
    const canary = ofSide(true)
    const speeds = new EngineSpeeds(ofSide(false))
    const logRatio = speeds.logLikelihood(canary, 0) - speeds.logLikelihood(canary, Math.log(SLOW_FACTOR))
    return { logRatio, canaryServers: canary.length }
  }

  private cells (): Cell[] {
    return [...this.servers].flatMap(([server, { isCanary, logsByRoute }]) => [...logsByRoute].map(([route, logs]) => (
      { server, route, isCanary, log: mean(logs), samples: logs.length }
    )))
  }
}

/** @returns the logarithm of each server's factor */
function fitServerFactors (cells: readonly Cell[]): Map<string, number> {
  let serverFactors = new Map<string, number>()
  for (let pass = 0; pass < FIT_PASSES; pass++) {
    const routeFactors = meanBy(cells, cell => cell.route, cell => cell.log - (serverFactors.get(cell.server) ?? 0))
    serverFactors = meanBy(cells, cell => cell.server, cell => cell.log - routeFactors.get(cell.route)!)
  }
  return serverFactors
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
