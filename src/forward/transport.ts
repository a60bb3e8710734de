import type { BackendServer } from '../fleet/index.js'
import type { Exchange, OutgoingRequest, ResponseHandler } from './exchange.js'

/** A way on which requests reach the servers. */
export interface Transport {
  /** Fields that describe it in the log. */
  readonly logFields: Readonly<Record<string, unknown>>
  /**
   * Sends a request.
   *
   * @param server - the server
   * @param request - the request
   * @param handler - receives the response
   * @returns the exchange
   */
  send (server: BackendServer, request: OutgoingRequest, handler: ResponseHandler): Exchange
}
