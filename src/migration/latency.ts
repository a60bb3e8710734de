/** Number of recent samples that make up the baseline of a server. */
const BASELINE_SAMPLES = 15

/** Number of samples below which a server has no baseline. */
const MIN_SAMPLES = 5

/** A response is slow if it took this many times the baseline. Engines of one kind differ by less under load. */
const SLOW_FACTOR = 2.5

/** Latency baselines of the servers of one route. A baseline is the median of a server's recent latencies. */
export class LatencyBaselines {
  private readonly latenciesByServer = new Map<string, number[]>()

  /**
   * Adds the latency of one response to its server's samples and compares it with the baseline of earlier responses.
   *
   * @param server - id of the server
   * @param latencyMs - mean gap between events, or duration of the call, in milliseconds
   * @returns whether the response was slow for its server
   */
  record (server: string, latencyMs: number): boolean {
    const latenciesMs = this.latenciesByServer.get(server) ?? []
    this.latenciesByServer.set(server, latenciesMs)
    const baselineMs = median(latenciesMs)
    latenciesMs.push(latencyMs)
    if (latenciesMs.length > BASELINE_SAMPLES) latenciesMs.shift()
    return baselineMs !== undefined && latencyMs > SLOW_FACTOR * baselineMs
  }
}

function median (samples: readonly number[]): number | undefined {
  if (samples.length < MIN_SAMPLES) return undefined
  return [...samples].sort((a, b) => a - b)[samples.length >> 1]
}
