import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { Failure, toError } from '../base/index.js'

/** A request body that is too long or was cut off. */
export class BodyFailure extends Failure<'too-long' | 'broken'> {}

/**
 * Reads the body of a request, up to a limit.
 *
 * @param incoming - the request
 * @param maxBytes - the longest body accepted, in bytes
 * @returns the body; a `too-long` failure if it exceeds the limit, `broken` if the connection fails before its end
 */
export async function readBody (incoming: IncomingMessage, maxBytes: number):
Promise<Result<Buffer, BodyFailure>> {
  const chunks: Buffer[] = []
  let bytes = Number(incoming.headers['content-length'] ?? 0)
  if (bytes > maxBytes) return err(tooLongFailure(maxBytes))
  bytes = 0
  try {
    for await (const chunk of incoming) {
      bytes += (chunk as Buffer).length
      if (bytes > maxBytes) return err(tooLongFailure(maxBytes))
      chunks.push(chunk as Buffer)
    }
  } catch (thrown) {
    return err(new BodyFailure('BodyFailure', { code: 'broken', cause: toError(thrown) }, 'the request body ended early'))
  }
  return ok(Buffer.concat(chunks))
}

function tooLongFailure (maxBytes: number): BodyFailure {
  return new BodyFailure('BodyFailure', { code: 'too-long' }, `the request body is longer than ${maxBytes} bytes`)
}
