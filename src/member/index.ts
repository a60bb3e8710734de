/** Cluster membership: the entries of the membership log, the membership view, and failure detection. */
export { type Member, Phase } from './member.js'
export type { Entry, Fail, Gone, Join, Leave } from './entry.js'
export { REPLICAS_PER_KEY, SETTLE_MS, View } from './view.js'
export { type Action, PROBE_PERIOD_MS, PROBE_TIMEOUT_MS, type Testimony, Watch } from './detector.js'
