/** Detection of poison requests, which crash each server that runs them. */
export { DEFAULT_REFUSAL_THRESHOLD, CrashHistory } from './history.js'
export { PoisonDetector } from './detector.js'
