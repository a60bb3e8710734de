import type { ExposureBounds } from '../move/index.js'
import type { Tolerance } from './allowance.js'
import type { RepeatBounds } from './repeats.js'

/** What bounds the scheduler's decisions, as operators bear it. */
export interface ScheduleBounds {
  readonly repeats: RepeatBounds
  /** By how much organisations may go over their allowances. */
  readonly tolerance: Tolerance
  /** How many requests a bad version may get. */
  readonly exposure: ExposureBounds
}
