/** Cluster membership: the entries of the membership log, the membership view, and failure detection. */
export { type Member, Phase } from './member.js'
export type { MembershipEntry, FailEntry, GoneEntry, JoinEntry, LeaveEntry } from './entry.js'
export { REPLICAS_PER_KEY, REBALANCE_SETTLE_MS, MembershipView } from './view.js'
export {
  type ProbeAction, PROBE_PERIOD_MS, PROBE_TIMEOUT_MS, type IndirectProbeResults, FailureDetector
} from './detector.js'
