import type { ExposureBounds } from '../move/index.js'
import type { OvershootLimit } from './quota.js'
import type { RepeatBounds } from './retrybudget.js'

/** Limits on the scheduler's decisions, from the host's settings. */
export interface ScheduleBounds {
  readonly repeats: RepeatBounds
  /** How far organisations may exceed their quotas. */
  readonly tolerance: OvershootLimit
  /** How many requests a new version may get before it has proved itself. */
  readonly exposure: ExposureBounds
}
