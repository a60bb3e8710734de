/** Who is there: the membership log's entries, the view they make, and failure detection. */
export { type Member, Phase } from './member.js'
export type { Entry, Fail, Gone, Join, Leave } from './entry.js'
export { HOLDERS, SETTLE_MS, View } from './view.js'
export { type Action, PROBE_PERIOD_MS, PROBE_TIMEOUT_MS, type Testimony, Watch } from './detector.js'
