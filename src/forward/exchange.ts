import type { RawHeaders } from './headers.js'

/** A request as it is sent to a server. */
export interface OutgoingRequest {
  readonly method: string
  readonly target: string
  readonly headers: readonly string[]
  readonly body: Buffer | null
  /** Time until the response is due, in milliseconds. */
  readonly remainingMs: number
}

/** Receives a server's response to one request. */
export interface ResponseHandler {
  /** Called when the request may have reached the server; at the latest when the exchange is aborted. */
  onSent (): void
  /**
   * Called before further bytes of the server are parsed.
   *
   * @param bytes - bytes that were received and parsed since the request was sent
   */
  onReading (bytes: number): void
  /**
   * Called when the final status and headers arrive.
   *
   * @param status - the HTTP status
   * @param headers - a flat list of names and values
   */
  onHead (status: number, headers: RawHeaders): void
  /**
   * Called for each chunk of the body.
   *
   * @param bytes - the chunk
   * @returns whether to continue reading at once; if false, reading continues after {@link Exchange.resume}
   */
  onBody (bytes: Buffer): boolean
  /** Called when the response is complete. */
  onEnd (): void
  /**
   * Called when the response can't be completed.
   *
   * @param error - the error of the connection
   */
  onFailure (error: Error): void
  /** Called if the request was not sent since the host that relays it may not use the server. */
  onUnusable (): void
  /**
   * Called when the request can't be sent to any server.
   *
   * @param error - why the request is invalid
   */
  onUnsendable (error: Error): void
}

/** One request to a server and its response. */
export interface Exchange {
  /** Whether the path to the server works, as far as this host knows. */
  readonly isPathSound: boolean
  /**
   * Checks the path after the exchange has failed.
   *
   * @returns whether it works, so that the server is at fault
   */
  verifyPath (): Promise<boolean>
  /**
   * Checks the path if the server has sent nothing for long. To be called at intervals.
   *
   * @param silenceMs - time for which the server has sent nothing, in milliseconds
   */
  handleSilence (silenceMs: number): void
  /** Aborts the request, unless the exchange was released; the response is not reported any more. */
  abort (): void
  /** Continues to read the body after `onBody` returned false. */
  resume (): void
  /** Keeps the connection for other requests, if it can. To be called after a complete response. */
  release (): void
}
