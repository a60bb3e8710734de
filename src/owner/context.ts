import type Logger from 'bunyan'
import type { OutputLengths } from '../admission/index.js'
import type { Clock } from '../base/index.js'
import type { EngineClient } from '../engine/index.js'
import type { Metrics } from '../metrics/index.js'
import type { ResponseCache } from './cache.js'
import type { KeyCoordinators } from './coordinators.js'

/** Dependencies shared by the dispatchers of one host. */
export interface DispatchContext {
  readonly client: EngineClient
  readonly coordinators: KeyCoordinators
  /** Estimates how many output tokens a request will take. */
  readonly outputLengths: OutputLengths
  readonly responseCache: ResponseCache
  readonly metrics: Metrics
  readonly clock: Clock
  readonly log: Logger
  /** Reports that a server crashed while it ran a request. Resolves once all reachable hosts have the report. */
  readonly reportCrash: (fingerprint: string, server: string) => Promise<void>
  /** Creates the id of the response to a request that a server is to run for an organisation. */
  readonly createResponseId: (server: string, organisation: string) => string
}
