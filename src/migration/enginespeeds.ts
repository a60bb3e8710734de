import { mean } from './mean.js'

/** Share of servers whose engine is taken to be of the same kind as that of a known server. */
const SAME_KIND_SHARE = 0.6

/** Standard deviation of the logarithms of factors within one kind of engine: they also vary with load. */
const KIND_DEVIATION = 0.15

/**
 * Standard deviation of the logarithms of all factors that is assumed before any are known, for engines whose speeds
 * differ fivefold, and the number of servers that this assumption counts as.
 */
const ASSUMED_DEVIATION = 0.6
const ASSUMED_SERVERS = 8

/**
 * Distribution of the speeds of a service's engines, learned from some of its servers. An engine is of the kind of one
 * of these, or of any other.
 */
export class EngineSpeeds {
  private readonly center: number
  private readonly deviation: number

  /** @param logs - logarithms of the factors of at least one server */
  constructor (private readonly logs: readonly number[]) {
    this.center = mean(logs)
    const squares = logs.reduce((sum, log) => sum + (log - this.center) ** 2, 0)
    this.deviation = Math.sqrt(
      (squares + ASSUMED_SERVERS * ASSUMED_DEVIATION ** 2) / (logs.length - 1 + ASSUMED_SERVERS))
  }

  /**
   * @param logs - logarithms of the factors of other servers of the service
   * @param slowdown - logarithm of the factor by which their version is slower
   * @returns logarithm of the likelihood of these factors
   */
  logLikelihood (logs: readonly number[], slowdown: number): number {
    return logs.reduce((sum, log) => sum + Math.log(this.density(log - slowdown)), 0)
  }

  private density (log: number): number {
    const sameKind = mean(this.logs.map(known => normalDensity(log, known, KIND_DEVIATION)))
    return SAME_KIND_SHARE * sameKind + (1 - SAME_KIND_SHARE) * normalDensity(log, this.center, this.deviation)
  }
}

function normalDensity (value: number, center: number, deviation: number): number {
  return Math.exp(-(((value - center) / deviation) ** 2) / 2) / (deviation * Math.sqrt(2 * Math.PI))
}
