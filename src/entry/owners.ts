import type { Forecast } from '../admission/index.js'
import type { Demand, ResponsePart, Submission } from '../owner/index.js'

/** Access to the owners of backend servers, on this host or on others. */
export interface Owners {
  /**
   * Asks a server's owner whether and when it would run a request.
   *
   * @param server - the server's name
   * @param demand - what the request needs
   * @returns the forecast, or undefined if the owner did not return one
   */
  forecast (server: string, demand: Demand): Promise<Forecast | undefined>

  /**
   * Submits a request to a server's owner.
   *
   * @param server - the server's name
   * @param submission - the request
   * @param signal - is aborted when the caller disconnects
   * @returns the parts of the answer; throws a PeerFailure if the connection to the owner is lost
   */
  submit (server: string, submission: Submission, signal: AbortSignal): AsyncGenerator<ResponsePart>

  /**
   * Reads the answer to a request that was already dispatched.
   *
   * @param server - the server's name
   * @param responseId - the response id
   * @param after - the last sequence number already received; -1 for none
   * @param isLocal - whether this host reads from the engine, even if it does not own the server
   * @param signal - is aborted when the caller disconnects
   * @returns the remaining parts; throws a PeerFailure if the connection to the owner is lost
   */
  attach (
    server: string, responseId: string, after: number, isLocal: boolean, signal: AbortSignal
  ): AsyncGenerator<ResponsePart>

  /**
   * Cancels a response.
   *
   * @param server - the server's name
   * @param responseId - the response id
   */
  cancel (server: string, responseId: string): Promise<void>
}
