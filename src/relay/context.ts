import type Logger from 'bunyan'
import type { Clock } from '../base/index.js'
import type { Fleet } from '../fleet/index.js'
import type { BufferBudget, HeaderNames, Reachability, Transport } from '../forward/index.js'

/** Dependencies of the relaying of requests for other hosts. */
export interface RelayContext {
  readonly headerNames: HeaderNames
  readonly fleet: Fleet
  /** Sends requests over connections of this host. */
  readonly transport: Transport
  readonly reachability: Reachability
  readonly bufferBudget: BufferBudget
  /** Clock of monotonic time. */
  readonly clock: Clock
  readonly log: Logger
  /** @returns whether requests of other hosts are accepted */
  isAccepting (): boolean
}
