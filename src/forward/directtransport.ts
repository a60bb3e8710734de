import type { BackendServer } from '../fleet/index.js'
import type { ConnectionPool } from './connectionpool.js'
import { DirectExchange } from './directexchange.js'
import type { Exchange, OutgoingRequest, ResponseHandler } from './exchange.js'
import type { Reachability } from './reachability.js'
import type { Transport } from './transport.js'

/** Sends requests over connections of this host to the servers. */
export class DirectTransport implements Transport {
  readonly logFields = {}

  /**
   * @param pool - the connections
   * @param reachability - tells whether this host can reach servers
   * @param attemptHeader - name of the header with an attempt's id, which servers echo
   */
  constructor (
    private readonly pool: ConnectionPool,
    private readonly reachability: Reachability,
    private readonly attemptHeader: string
  ) {}

  send (server: BackendServer, request: OutgoingRequest, handler: ResponseHandler): Exchange {
    return new DirectExchange(this.pool, this.reachability, server.address, this.attemptHeader, request, handler)
  }
}
