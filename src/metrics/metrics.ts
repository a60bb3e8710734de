import { StatsD } from 'hot-shots'

/** Names of the metrics. docs/METRICS.md documents the unit and meaning of each. */
export const Metric = {
  answered: 'requests.answered',
  goodput: 'requests.goodput',
  notRun: 'requests.not_run',
  unknown: 'requests.unknown',
  preempted: 'requests.yielded',
  wastedPrefill: 'tokens.prefill_wasted',
  queue: 'queue.jobs',
  limit: 'limit.jobs',
  running: 'running.jobs',
  calls: 'calls.answered',
  callsUnknown: 'calls.unknown'
} as const

/** One of the values of {@link Metric}. */
export type Metric = typeof Metric[keyof typeof Metric]

/** Dimensions of a metric. */
export interface Tags {
  readonly tier?: string
  readonly className?: string
  readonly server?: string
  readonly reason?: string
}

/** Records metrics of the process. */
export interface Metrics {
  /**
   * Increments a counter.
   *
   * @param metric - the counter
   * @param by - increment
   * @param tags - dimensions of the counter
   */
  count (metric: Metric, by: number, tags: Tags): void
  /**
   * Sets a gauge.
   *
   * @param metric - the gauge
   * @param value - current value
   * @param tags - dimensions of the gauge
   */
  gauge (metric: Metric, value: number, tags: Tags): void
  /** @returns counter totals since process start and the latest gauge values, by metric name and tags */
  totals (): ReadonlyMap<string, number>
  /** Flushes buffered metrics and closes the exporter. */
  close (): Promise<void>
}

/** Formats a metric and its tags as `metric{key=value,...}`. */
function formatName (metric: Metric, tags: Tags): string {
  const parts = Object.entries(tags).map(([key, value]) => `${key}=${value}`)
  return parts.length === 0 ? metric : `${metric}{${parts.join(',')}}`
}

/** Keeps values in memory for the state dump. */
export class LocalMetrics implements Metrics {
  private readonly values = new Map<string, number>()

  count (metric: Metric, by: number, tags: Tags): void {
    const name = formatName(metric, tags)
    this.values.set(name, (this.values.get(name) ?? 0) + by)
  }

  gauge (metric: Metric, value: number, tags: Tags): void {
    this.values.set(formatName(metric, tags), value)
  }

  totals (): ReadonlyMap<string, number> {
    return this.values
  }

  async close (): Promise<void> {}
}

/** Keeps values in memory and sends each one to a StatsD server. */
export class StatsdMetrics implements Metrics {
  private readonly local = new LocalMetrics()
  private readonly client: StatsD

  /**
   * @param ip - IP address of the StatsD server
   * @param port - UDP port of the StatsD server
   * @param host - name of this host, sent as a tag with every metric
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
