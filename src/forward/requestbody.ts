import type { IncomingMessage } from 'node:http'
import type { CallerResponse } from './callerresponse.js'
import { Status } from './status.js'

/**
 * Reads the body of a request; responds if it is too long.
 *
 * @param message - the request
 * @param response - the response to its caller
 * @param maxBytes - greatest length, in bytes
 * @param onBody - receives the complete body, unless the response was sent meanwhile
 */
export function readBody (
  message: IncomingMessage, response: CallerResponse, maxBytes: number, onBody: (body: Buffer) => void
): void {
  const chunks: Buffer[] = []
  let bytes = 0
  message.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes <= maxBytes) chunks.push(chunk)
    else if (!response.isClosed) response.sendText(Status.contentTooLarge, 'the body is too long')
  })
  message.on('end', () => {
    if (!response.isClosed) onBody(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks))
  })
  // If the caller disconnects while it sends the body, there is no attempt to cancel yet.
  message.on('error', () => undefined)
}
