import type Logger from 'bunyan'
import type { OutputLengths } from '../admission/index.js'
import type { Clock } from '../base/index.js'
import type { EngineClient } from '../engine/index.js'
import type { Metrics } from '../metrics/index.js'
import type { Answers } from './cache.js'
import type { Homes } from './coordinators.js'

/** Dependencies shared by the dispatchers of one host. */
export interface Tools {
  readonly client: EngineClient
  readonly homes: Homes
  /** Estimates how many output tokens a request will take. */
  readonly lengths: OutputLengths
  readonly answers: Answers
  readonly metrics: Metrics
  readonly clock: Clock
  readonly log: Logger
  /** Reports that a server crashed while it ran a request. Resolves once all reachable hosts have the report. */
  readonly onCrash: (fingerprint: string, server: string) => Promise<void>
  /** Creates the id of the response to a request that a server is to run for an organisation. */
  readonly responseId: (server: string, organisation: string) => string
}
