import type { HttpBindings } from '@hono/node-server'
import type Logger from 'bunyan'
import type { Metrics } from '../metrics/index.js'
import type { Pool, Once, Repeater } from '../service/index.js'
import type { DeliveryContext } from './deliverycontext.js'
import type { ResponseIds } from './responseid.js'

/** The dependencies and limits of the HTTP API for callers. */
export interface Context {
  readonly desk: DeliveryContext
  readonly ids: ResponseIds
  /** Executes service calls at most once. */
  readonly once: Once
  /** Executes service calls that may be retried. */
  readonly repeater: Repeater
  /** Returns the workers of a service, by the service's name. */
  readonly pool: (service: string) => Pool
  readonly metrics: Metrics
  readonly log: Logger
  /** The longest request body accepted, in bytes. */
  readonly greatestBodyBytes: number
  /** The most requests in progress at a time. */
  readonly greatestRequests: number
  /** Returns whether this host accepts new requests. */
  readonly isOpen: () => boolean
}

/** Variables that the request filter sets on each request. */
export interface Variables {
  requestId: string
  /** The name of the organisation that the request is sent for. */
  organisation: string
}

/** The Hono environment of the routes for callers. */
export interface Env {
  Bindings: HttpBindings
  Variables: Variables
}
