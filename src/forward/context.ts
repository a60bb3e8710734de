import type Logger from 'bunyan'
import type { Clock, Random } from '../base/index.js'
import type { Dispatcher } from '../dispatch/index.js'
import type { Fleet } from '../fleet/index.js'
import type { Deployment } from '../routing/index.js'
import type { Channels } from './connectionpool.js'
import type { HeaderNames } from './headernames.js'

/** What requests of callers are worked on with. */
export interface ForwardContext {
  readonly names: HeaderNames
  readonly dataCentre: string
  readonly fleet: Fleet
  readonly channels: Channels
  readonly dispatcher: Dispatcher
  /** Steady time. */
  readonly clock: Clock
  readonly random: Random
  readonly log: Logger
  /** @returns the newest deployment, or undefined if none is known yet */
  deployment (): Deployment | undefined
  /** @returns whether connections are to end after their next answer */
  isClosing (): boolean
  /** @returns whether requests are still taken */
  isTaking (): boolean
}
