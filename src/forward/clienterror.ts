import type { Duplex } from 'node:stream'
import { Socket } from 'node:net'

/** Status lines for requests that were not received, by Node's error code; 400 for others. */
const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
}

/**
 * Ends a connection on which a request could not be received. A connection on which nothing arrived gets no response.
 *
 * @param error - Node's error
 * @param socket - the connection
 */
export function handleClientError (error: NodeJS.ErrnoException, socket: Duplex): void {
  const status = STATUS_LINES[error.code ?? ''] ?? '400 Bad Request'
  const hasReceived = socket instanceof Socket && socket.bytesRead > 0
  if (hasReceived && socket.writable) {
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  } else {
    socket.destroy()
  }
}
