import type { Job } from '../admission/index.js'
import type { ResponseBuffer } from './buffer.js'
import type { ResponseReader } from './reader.js'
import type { RequestResult } from './result.js'
import type { Submission } from './submission.js'

/** Stage of a request at its owner. */
export const Stage = {
  /** In the queue. */
  waiting: 'waiting',
  /** Waiting for the key coordinator's grant. */
  awaitingGrant: 'beginning',
  /** Dispatched to the engine. */
  running: 'running',
  ended: 'ended'
} as const

/** One of the values of {@link Stage}. */
export type Stage = typeof Stage[keyof typeof Stage]

/** A request that its owner has accepted, with its progress. */
export interface TrackedRequest {
  readonly submission: Submission
  readonly job: Job
  readonly response: ResponseBuffer
  stage: Stage
  /** Reads the engine's response; undefined until the request is dispatched. */
  reader: ResponseReader | undefined
  /** The result with which the request is cancelled; undefined unless it is. */
  cancellation: RequestResult | undefined
  /** Output tokens received so far. */
  outputTokens: number
}
