/** Detection of poison requests, which crash each server that runs them. */
export { DEFAULT_REFUSAL_THRESHOLD, CrashHistory } from './history.js'
export type {
  BlockedPartSummary, CrashedRequestSummary, CrashEvidence, CrashSummary, DisconnectSummary
} from './evidence.js'
export type { RequestTraits } from './traits.js'
export type { DisconnectedRequest } from './disconnects.js'
export { PoisonDetector } from './detector.js'
export { type CrashObserver, type CrashReport, NO_OBSERVER } from './observer.js'
