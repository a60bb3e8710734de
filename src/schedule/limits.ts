import type { ExposureBounds } from '../move/index.js'
import type { Tolerance } from './quota.js'
import type { RepeatBounds } from './retrybudget.js'

/** What bounds the scheduler's decisions, as operators bear it. */
export interface ScheduleBounds {
  readonly repeats: RepeatBounds
  /** By how much organisations may go over their allowances. */
  readonly tolerance: Tolerance
  /** How many requests a bad version may get. */
  readonly exposure: ExposureBounds
}
