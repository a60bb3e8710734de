import type { Forecast } from '../admission/index.js'
import type { Demand, Part, Submission } from '../owner/index.js'

/** The owners of backend servers, here or on other hosts. */
export interface Owners {
  /**
   * Asks a server's owner how a request would fare.
   *
   * @param server - the server's name
   * @param demand - the request
   * @returns the forecast, or undefined if the owner gave none
   */
  forecast (server: string, demand: Demand): Promise<Forecast | undefined>

  /**
   * Gives a request to a server's owner.
   *
   * @param server - the server's name
   * @param submission - the request
   * @param signal - tells that the caller went away
   * @returns the parts of its answer; throws a PeerFailure if the owner is lost on the way
   */
  submit (server: string, submission: Submission, signal: AbortSignal): AsyncGenerator<Part>

  /**
   * Reads an answer that was dispatched before.
   *
   * @param server - the server's name
   * @param responseId - the response
   * @param after - the last sequence number already had; -1 for none
   * @param isLocal - whether to read from the engine by way of this host, whoever owns the server
   * @param signal - tells that the caller went away
   * @returns the parts of the rest; throws a PeerFailure if the owner is lost on the way
   */
  attach (
    server: string, responseId: string, after: number, isLocal: boolean, signal: AbortSignal
  ): AsyncGenerator<Part>

  /**
   * Cancels a response.
   *
   * @param server - the server's name
   * @param responseId - the response
   */
  cancel (server: string, responseId: string): Promise<void>
}
