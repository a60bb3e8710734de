import { StatsD } from 'hot-shots'

/** Names of the metrics; docs/METRICS.md gives unit and meaning of each. */
export const Metric = {
  answered: 'requests.answered',
  goodput: 'requests.goodput',
  notRun: 'requests.not_run',
  unknown: 'requests.unknown',
  yielded: 'requests.yielded',
  wastedPrefill: 'tokens.prefill_wasted',
  queue: 'queue.jobs',
  limit: 'limit.jobs',
  running: 'running.jobs',
  calls: 'calls.answered',
  callsUnknown: 'calls.unknown'
} as const

/** One of the values of {@link Metric}. */
export type Metric = typeof Metric[keyof typeof Metric]

/** What a metric is told apart by. */
export interface Tags {
  readonly tier?: string
  readonly className?: string
  readonly server?: string
  readonly reason?: string
}

/** Takes figures about what the process does. */
export interface Metrics {
  /** Adds to a counter. */
  count (metric: Metric, by: number, tags: Tags): void
  /** Sets a present value. */
  gauge (metric: Metric, value: number, tags: Tags): void
  /** @returns the counters' sums since the start, by metric and tags */
  totals (): ReadonlyMap<string, number>
  /** Sends what is left and closes. */
  close (): Promise<void>
}

function nameOf (metric: Metric, tags: Tags): string {
  const parts = Object.entries(tags).map(([key, value]) => `${key}=${value}`)
  return parts.length === 0 ? metric : `${metric}{${parts.join(',')}}`
}

/** Keeps sums for the state dump and sends nothing. */
export class LocalMetrics implements Metrics {
  private readonly sums = new Map<string, number>()

  count (metric: Metric, by: number, tags: Tags): void {
    const name = nameOf(metric, tags)
    this.sums.set(name, (this.sums.get(name) ?? 0) + by)
  }

  gauge (metric: Metric, value: number, tags: Tags): void {
    this.sums.set(nameOf(metric, tags), value)
  }

  totals (): ReadonlyMap<string, number> {
    return this.sums
  }

  async close (): Promise<void> {}
}

/** Keeps sums, and sends each figure to a StatsD server. */
export class StatsdMetrics implements Metrics {
  private readonly local = new LocalMetrics()
  private readonly client: StatsD

  /**
   * @param ip - the server's IP number
   * @param port - the server's port
   * @param host - this host's name, sent as a tag
   */
  constructor (ip: string, port: number, host: string) {
    this.client = new StatsD({
      host: ip, port, prefix: 'marigoldvalve.', globalTags: { host }, errorHandler: () => undefined
    })
  }

  count (metric: Metric, by: number, tags: Tags): void {
    this.local.count(metric, by, tags)
    this.client.increment(metric, by, { ...tags })
  }

  gauge (metric: Metric, value: number, tags: Tags): void {
    this.local.gauge(metric, value, tags)
    this.client.gauge(metric, value, { ...tags })
  }

  totals (): ReadonlyMap<string, number> {
    return this.local.totals()
  }

  close (): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()))
  }
}
