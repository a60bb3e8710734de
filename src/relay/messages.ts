import type { MessageInitShape } from '@bufbuild/protobuf'
import type { BackendServer } from '../fleet/index.js'
import type { OutgoingRequest, RawHeaders } from '../forward/index.js'
import type { SendEventSchema, SendRequest, SendRequestSchema } from './relay_pb.js'

/** Progress of a relayed request, as it is sent to the host that has it. */
export type SendEventInit = MessageInitShape<typeof SendEventSchema>

/**
 * @param headers - a flat list of names and values
 * @returns the list as bytes
 */
export function encodeHeaders (headers: RawHeaders): Buffer[] {
  return headers.map(text => Buffer.from(text, 'latin1'))
}

/**
 * @param headers - a list of {@link encodeHeaders}
 * @returns a flat list of names and values
 */
export function decodeHeaders (headers: readonly Uint8Array[]): string[] {
  return headers.map(bytes => Buffer.from(bytes).toString('latin1'))
}

/**
 * @param server - the server that is to get the request
 * @param request - the request
 * @returns the message to the host that relays it
 */
export function encodeRequest (
  { id, born }: BackendServer, request: OutgoingRequest
): MessageInitShape<typeof SendRequestSchema> {
  const { method, target, headers, body } = request
  return {
    server: id,
    born,
    method,
    target: Buffer.from(target, 'latin1'),
    headers: encodeHeaders(headers),
    body: body ?? new Uint8Array()
  }
}

/**
 * @param message - the message from the host that has the request
 * @param remainingMs - time until the response is due, in milliseconds
 * @returns the request
 */
export function decodeRequest (message: SendRequest, remainingMs: number): OutgoingRequest {
  const { method, target, headers, body } = message
  return {
    method,
    target: Buffer.from(target).toString('latin1'),
    headers: decodeHeaders(headers),
    body: body.length > 0 ? Buffer.from(body) : null,
    remainingMs
  }
}
