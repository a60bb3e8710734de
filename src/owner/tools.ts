import type Logger from 'bunyan'
import type { Lengths } from '../admission/index.js'
import type { Clock } from '../base/index.js'
import type { EngineClient } from '../engine/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Answers } from './cache.js'
import type { Homes } from './coordinators.js'

/** What the dispatchers of one host share. */
export interface Tools {
  readonly client: EngineClient
  readonly homes: Homes
  readonly lengths: Lengths
  readonly answers: Answers
  readonly metrics: Metrics
  readonly clock: Clock
  readonly log: Logger
  /** Told when a server crashed while it ran a request; over when all hosts that can be reached know of it. */
  readonly onCrash: (fingerprint: string, server: string) => Promise<void>
  /** Makes the id of a response that a server is to run for an organisation. */
  readonly responseId: (server: string, organisation: string) => string
}
