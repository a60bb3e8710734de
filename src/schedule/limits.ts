import type { ExposureLimits } from '../migration/index.js'
import type { ColdOvershoot } from './allowance/index.js'
import type { OvershootLimits } from './quota.js'
import type { RetryLimits } from './retrybudget.js'

/** Limits on the scheduler's decisions, from the host's settings. */
export interface ScheduleLimits {
  readonly retries: RetryLimits
  /** How far organisations may exceed their quotas. */
  readonly quotaOvershoot: OvershootLimits
  /** How many requests a new version may get before it has proved healthy. */
  readonly canaryExposure: ExposureLimits
  /** How far requests to a cold server may exceed its rate; undefined if the settings state no bound. */
  readonly coldOvershoot?: ColdOvershoot | undefined
}
