import type Logger from 'bunyan'
import type { Clock, Random } from '../base/index.js'
import type { Dispatcher } from '../dispatch/index.js'
import type { Fleet } from '../fleet/index.js'
import type { Deployment } from '../routing/index.js'
import type { BufferBudget } from './bufferbudget.js'
import type { HeaderNames } from './headernames.js'
import type { Paths } from './paths.js'

/** Dependencies of the handling of callers' requests. */
export interface ForwardContext {
  /** Names of the headers that the scheduler reads or sets. */
  readonly headerNames: HeaderNames
  /** The data centre of this host. */
  readonly dataCentre: string
  readonly fleet: Fleet
  readonly paths: Paths
  readonly bufferBudget: BufferBudget
  /** Most connections of callers. */
  readonly maxConnections: number
  readonly dispatcher: Dispatcher
  /** Clock of monotonic time. */
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  /** @returns the newest deployment, or undefined if none is known yet */
  deployment (): Deployment | undefined
  /** @returns whether connections are to be closed after their next response */
  isClosing (): boolean
  /** @returns whether new requests are accepted */
  isAccepting (): boolean
  /** @returns whether requests that were not sent to a server yet may be sent */
  maySend (): boolean
}
