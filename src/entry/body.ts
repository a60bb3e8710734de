import { err, ok, type Result } from 'neverthrow'
import { Failure, toError } from '../base/index.js'

/** Says that a body is too long or did not come whole. */
export class BodyFailure extends Failure<'too-long' | 'broken'> {}

/**
 * Reads a request's body up to a bound.
 *
 * @param request - the request
 * @param greatestBytes - the longest body taken
 * @returns the body
 */
export async function readBody (request: Request, greatestBytes: number): Promise<Result<Buffer, BodyFailure>> {
  const tooLong = () => err(new BodyFailure('BodyFailure', { code: 'too-long' }, `the body is over ${greatestBytes} bytes`))
  if (Number(request.headers.get('content-length') ?? 0) > greatestBytes) return tooLong()
  if (request.body === null) return ok(Buffer.alloc(0))
  const parts: Uint8Array[] = []
  let bytes = 0
  try {
    for await (const part of request.body) {
      bytes += part.length
      if (bytes > greatestBytes) return tooLong()
      parts.push(part)
    }
  } catch (thrown) {
    return err(new BodyFailure('BodyFailure', { code: 'broken', cause: toError(thrown) }, 'the body did not come whole'))
  }
  return ok(Buffer.concat(parts))
}
