import type { RawHeaders } from './headers.js'

/** A server's complete response. */
export interface BufferedResponse {
  readonly status: number
  readonly headers: RawHeaders
  readonly body: Buffer
}
