import type { Transport } from './transport.js'

/** Chooses on which way requests are sent to the servers. */
export interface Paths {
  /** @returns the transport for a request */
  choose (): Transport
  /**
   * Chooses another transport for a request that was not sent since the path failed.
   *
   * @param failed - the transports that were tried
   * @returns the transport, or undefined if there is none
   */
  chooseOther (failed: readonly Transport[]): Promise<Transport | undefined>
  /** Checks the paths. To be called several times a second. */
  tick (): void
}
