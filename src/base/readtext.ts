/** A body is longer than its reader allows. */
export class TooLongError extends Error {
  /** @param maxBytes - greatest length that is allowed, in bytes */
  constructor (maxBytes: number) {
    super(`a body of more than ${maxBytes} bytes`)
  }
}

/**
 * Reads the body of a response as UTF-8.
 *
 * @param body - the body, which is closed if it is too long
 * @param maxBytes - greatest length, in bytes
 * @returns the whole body
 * @throws TooLongError if the body is longer, and the error of the connection if the body is not complete
 */
export async function readText (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
  const chunks: Uint8Array[] = []
  let bytes = 0
  for await (const chunk of body) {
    bytes += chunk.length
    if (bytes > maxBytes) throw new TooLongError(maxBytes)
    chunks.push(chunk)
  }
  return new TextDecoder().decode(Buffer.concat(chunks))
}
