import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { Failure, toError } from '../base/index.js'

/** Says that a body is too long or did not come whole. */
export class BodyFailure extends Failure<'too-long' | 'broken'> {}

/**
 * Reads a request's body up to a bound.
 *
 * @param incoming - the request
 * @param greatestBytes - the longest body taken
 * @returns the body
 */
export async function readBody (incoming: IncomingMessage, greatestBytes: number):
Promise<Result<Buffer, BodyFailure>> {
  const parts: Buffer[] = []
  let bytes = Number(incoming.headers['content-length'] ?? 0)
  if (bytes > greatestBytes) return err(tooLong(greatestBytes))
  bytes = 0
  try {
    for await (const part of incoming) {
      bytes += (part as Buffer).length
      if (bytes > greatestBytes) return err(tooLong(greatestBytes))
      parts.push(part as Buffer)
    }
  } catch (thrown) {
    return err(new BodyFailure('BodyFailure', { code: 'broken', cause: toError(thrown) }, 'the body did not come whole'))
  }
  return ok(Buffer.concat(parts))
}

function tooLong (greatestBytes: number): BodyFailure {
  return new BodyFailure('BodyFailure', { code: 'too-long' }, `the body is over ${greatestBytes} bytes`)
}
