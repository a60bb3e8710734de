/** Detection of poison requests, which crash each server that runs them. */
export { DEFAULT_REFUSAL_THRESHOLD, CrashHistory } from './history.js'
export type { BlockedPartSummary, CrashEvidence, CrashSummary } from './evidence.js'
export { PoisonDetector, type RequestTraits } from './detector.js'
export { type CrashObserver, type CrashReport, NO_OBSERVER } from './observer.js'
