/** Process metrics: names, local totals and a StatsD exporter. */
export { LocalMetrics, Metric, type Metrics, StatsdMetrics, type Tags } from './metrics.js'
