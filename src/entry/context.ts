import type { HttpBindings } from '@hono/node-server'
import type Logger from 'bunyan'
import type { Metrics } from '../metrics/index.js'
import type { AtMostOnceExecutor, RetryingExecutor, WorkerPool } from '../service/index.js'
import type { DeliveryContext } from './deliverycontext.js'
import type { ResponseIds } from './responseid.js'

/** The dependencies and limits of the HTTP API for callers. */
export interface EntryContext {
  readonly deliveryContext: DeliveryContext
  readonly responseIds: ResponseIds
  /** Executes service calls at most once. */
  readonly atMostOnce: AtMostOnceExecutor
  /** Executes service calls that may be retried. */
  readonly retrier: RetryingExecutor
  /** Returns the workers of a service, by the service's name. */
  readonly poolOf: (service: string) => WorkerPool
  readonly metrics: Metrics
  readonly log: Logger
  /** The longest request body accepted, in bytes. */
  readonly maxBodyBytes: number
  /** The most requests in progress at a time. */
  readonly maxRequests: number
  /** Returns whether this host accepts new requests. */
  readonly acceptsRequests: () => boolean
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
