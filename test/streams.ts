/** Status line and headers of a streamed response to the attempt `a1`. */
export const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nx-attempt: a1\r\n' +
  'Transfer-Encoding: chunked\r\n\r\n'

/** End of a chunked body. */
export const STREAM_END = '0\r\n\r\n'

/**
 * @param id - id of the event
 * @returns one server-sent event as a chunk of the body
 */
export function eventChunk (id: number): string {
  const text = `id: ${id}\ndata: x\n\n`
  return `${text.length.toString(16)}\r\n${text}\r\n`
}
