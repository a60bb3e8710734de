import type { ExposureBounds } from '../migration/index.js'
import type { OvershootLimit } from './quota.js'
import type { RetryLimits } from './retrybudget.js'

/** Limits on the scheduler's decisions, from the host's settings. */
export interface ScheduleLimits {
  readonly retries: RetryLimits
  /** How far organisations may exceed their quotas. */
  readonly quotaOvershoot: OvershootLimit
  /** How many requests a new version may get before it has proved itself. */
  readonly canaryExposure: ExposureBounds
}
