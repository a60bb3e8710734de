/** Number of recent samples that make up the baseline of a server. */
const BASELINE_SAMPLES = 15

/** Number of samples below which a server has no baseline. */
const MIN_SAMPLES = 5

/** A response is slow if it took this many times the baseline. Engines of one kind differ by less under load. */
const SLOW_FACTOR = 2.5

interface ServerSamples {
  readonly isCanary: boolean
  readonly latenciesMs: number[]
}

/** Latency baselines of the servers of one route. A baseline is the median of a server's recent latencies. */
export class LatencyBaselines {
  private readonly servers = new Map<string, ServerSamples>()

  /**
   * Adds the latency of one response to its server's samples and compares it with the baselines of earlier responses.
   *
   * @param server - id of the server
   * @param isCanary - whether the server runs the canary version
   * @param latencyMs - mean gap between events, or duration of the call, in milliseconds
   * @returns whether the response was slow for its server, or a canary's response slow for every stable server
   */
  record (server: string, isCanary: boolean, latencyMs: number): boolean {
    let samples = this.servers.get(server)
    if (samples === undefined) {
      samples = { isCanary, latenciesMs: [] }
      this.servers.set(server, samples)
    }
    const baselinesMs = [median(samples.latenciesMs), isCanary ? this.slowestStableMs() : undefined]
      .filter(ms => ms !== undefined)
    samples.latenciesMs.push(latencyMs)
    if (samples.latenciesMs.length > BASELINE_SAMPLES) samples.latenciesMs.shift()
    return baselinesMs.length > 0 && latencyMs > SLOW_FACTOR * Math.min(...baselinesMs)
  }

  private slowestStableMs (): number | undefined {
    let slowestMs: number | undefined
    for (const { isCanary, latenciesMs } of this.servers.values()) {
      const baselineMs = isCanary ? undefined : median(latenciesMs)
      if (baselineMs !== undefined && (slowestMs === undefined || baselineMs > slowestMs)) slowestMs = baselineMs
    }
    return slowestMs
  }
}

function median (samples: readonly number[]): number | undefined {
  if (samples.length < MIN_SAMPLES) return undefined
  return [...samples].sort((a, b) => a - b)[samples.length >> 1]
}
