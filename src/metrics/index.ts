/** Figures about what a process does. */
export { LocalMetrics, Metric, type Metrics, StatsdMetrics, type Tags } from './metrics.js'
