import { connect } from 'node:net'

/** What a caller received on a connection of its own. */
export interface Received {
  /** Everything until the connection ended. */
  readonly text: string
  /** The body, without the framing of chunks. */
  readonly body: string
  /** Whether a client takes the response for complete, by RFC 9112. */
  readonly isComplete: boolean
}

/** How a raw request is sent. */
export interface RawRequest {
  readonly target: string
  readonly attemptId: string
  /** HTTP version; 1.1 if left out. */
  readonly version?: string
  readonly deadlineMs?: number
  readonly headers?: readonly string[]
  /** Body of a POST request, whose last byte follows when the promise is resolved; GET without a body if left out. */
  readonly body?: { readonly text: string, readonly untilLast: Promise<unknown> }
  /** Whether to read; a caller that does not reads once the promise `untilRead` is resolved. */
  readonly untilRead?: Promise<unknown>
}

/**
 * Sends a request that asks for the end of its connection, and reads until the connection ends.
 *
 * @param address - IP address and port
 * @param request - the request
 * @returns what was received
 */
export async function sendRaw (address: string, request: RawRequest): Promise<Received> {
  const { target, attemptId, version = '1.1', deadlineMs = 10_000, headers = ['Connection: close'], untilRead, body } = request
  const [ip, port] = address.split(':')
  const socket = connect(Number(port), ip)
  const lines = [`${body === undefined ? 'GET' : 'POST'} ${target} HTTP/${version}`, 'Host: a.example',
    `Attempt-Id: ${attemptId}`, `Deadline-Ms: ${deadlineMs}`, ...headers]
  if (body !== undefined) lines.push(`Content-Length: ${body.text.length}`)
  socket.write(`${lines.join('\r\n')}\r\n\r\n${body?.text.slice(0, -1) ?? ''}`)
  void body?.untilLast.then(() => socket.write(body.text.slice(-1)))
  const chunks: Buffer[] = []
  let wasReset = false
  if (untilRead !== undefined) {
    socket.pause()
    void untilRead.then(() => socket.resume())
  }
  socket.on('data', bytes => chunks.push(bytes))
  socket.on('error', () => { wasReset = true })
  await new Promise(resolve => socket.once('close', resolve))
  return parseResponse(Buffer.concat(chunks).toString('latin1'), wasReset)
}

/**
 * @param text - a response as a caller received it
 * @returns its body without the framing of chunks, and whether it is complete
 */
export function bodyOf (text: string): Pick<Received, 'body' | 'isComplete'> {
  const { body, isComplete } = parseResponse(text, false)
  return { body, isComplete }
}

function parseResponse (text: string, wasReset: boolean): Received {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd === -1) return { text, body: '', isComplete: false }
  const head = text.slice(0, headEnd)
  const rest = text.slice(headEnd + 4)
  if (/transfer-encoding: *chunked/i.test(head)) return { text, ...parseChunks(rest) }
  const length = /\ncontent-length: *(\d+)/i.exec(head)?.[1]
  if (length === undefined) return { text, body: rest, isComplete: !wasReset }
  return { text, body: rest, isComplete: rest.length === Number(length) }
}

function parseChunks (bytes: string): { body: string, isComplete: boolean } {
  let body = ''
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    const length = parseInt(bytes.slice(at, lineEnd), 16)
    if (lineEnd === -1 || Number.isNaN(length)) return { body, isComplete: false }
    if (length === 0) return { body, isComplete: bytes.startsWith('\r\n', lineEnd + 2) }
    body += bytes.slice(lineEnd + 2, lineEnd + 2 + length)
    at = lineEnd + 2 + length + 2
  }
}
