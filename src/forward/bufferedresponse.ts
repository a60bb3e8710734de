import type { RawHeaders } from './headers.js'

/** A server's complete response. */
export interface BufferedResponse {
  readonly status: number
  readonly headers: RawHeaders
  readonly body: Buffer
  /** Whether the end of the body was marked only by the end of the connection. */
  readonly isCloseDelimited: boolean
}
