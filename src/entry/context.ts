import type { HttpBindings } from '@hono/node-server'
import type Logger from 'bunyan'
import type { Metrics } from '../metrics/index.js'
import type { Pool, Once, Repeater } from '../service/index.js'
import type { Desk } from './deliverycontext.js'
import type { ResponseIds } from './responseid.js'

/** What the callers' interface works with. */
export interface Context {
  readonly desk: Desk
  readonly ids: ResponseIds
  readonly once: Once
  readonly repeater: Repeater
  /** The workers of a plain service. */
  readonly pool: (service: string) => Pool
  readonly metrics: Metrics
  readonly log: Logger
  readonly greatestBodyBytes: number
  readonly greatestRequests: number
  /** Whether this host takes new requests. */
  readonly isOpen: () => boolean
}

/** What is known of a request once its caller is. */
export interface Variables {
  requestId: string
  organisation: string
}

/** The types of the callers' routes. */
export interface Env {
  Bindings: HttpBindings
  Variables: Variables
}
