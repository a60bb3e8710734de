import type { Delivery } from './delivery.js'
import type { Paths } from './paths.js'
import type { Transport } from './transport.js'

/** Chooses transports for a request whose slot was granted, after one failed before the request was sent. */
export class TransportChoice {
  private failed: Transport[] = []

  /** @param paths - the transports of this host */
  constructor (private readonly paths: Paths) {}

  /** Forgets which transports failed, for the server of another slot. */
  reset (): void {
    this.failed = []
  }

  /**
   * @param delivery - could not send the request
   * @returns another transport to the server; undefined if the server is at fault or there is none
   */
  async chooseOther (delivery: Delivery): Promise<Transport | undefined> {
    const isPathSound = await delivery.exchange.verifyPath()
    this.failed.push(delivery.transport)
    return isPathSound ? undefined : await this.paths.chooseOther(this.failed)
  }
}
