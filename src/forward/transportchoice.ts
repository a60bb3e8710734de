import type { Delivery } from './delivery.js'
import type { Paths } from './paths.js'
import type { Transport } from './transport.js'

/** Chooses transports for a request whose slot was granted, after one failed before the request was sent. */
export class TransportChoice {
  private failed: Transport[] = []
  /** The server that the transports failed for. */
  private serverId: string | undefined

  /** @param paths - the transports of this host */
  constructor (private readonly paths: Paths) {}

  /**
   * @param delivery - could not send the request
   * @returns another transport to the server; undefined if the server is at fault or there is none
   */
  async chooseOther (delivery: Delivery): Promise<Transport | undefined> {
    const isPathSound = await delivery.exchange.verifyPath()
    if (delivery.server.id !== this.serverId) this.failed = []
    this.serverId = delivery.server.id
    this.failed.push(delivery.transport)
    return isPathSound ? undefined : await this.paths.chooseOther(this.failed)
  }
}
