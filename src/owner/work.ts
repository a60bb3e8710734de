import type { Job } from '../admission/index.js'
import type { Answer } from './buffer.js'
import type { Ending } from './result.js'
import type { Reader } from './reader.js'
import type { Submission } from './submission.js'

/** How far a request has come at its owner. */
export const Stage = {
  waiting: 'waiting',
  /** The home is asked whether it may be dispatched. */
  beginning: 'beginning',
  /** The engine has it. */
  running: 'running',
  ended: 'ended'
} as const

/** One of the values of {@link Stage}. */
export type Stage = typeof Stage[keyof typeof Stage]

/** A request at its owner. */
export interface Work {
  readonly submission: Submission
  readonly job: Job
  readonly answer: Answer
  stage: Stage
  /** Reads the answer while the engine runs it. */
  reader: Reader | undefined
  /** Set once the request is to be cancelled: how it then ends. */
  cancelled: Ending | undefined
  tokens: number
}
