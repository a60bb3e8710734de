/** A caller with one connection to a gateway, and a reader of the answers on it. */
import { connect } from 'node:net'

export class Caller {
  received = Buffer.alloc(0)
  hasEnded = false
  error = undefined

  /** @param gateway - the gateway to connect to; a channel that it refuses is returned closed */
  static open (gateway) {
    const caller = new Caller()
    return new Promise(resolve => {
      caller.socket = connect({ host: gateway.ip, port: gateway.front, noDelay: true }, () => resolve(caller))
      caller.socket.on('data', bytes => { caller.received = Buffer.concat([caller.received, bytes]) })
      caller.socket.on('error', error => { caller.error = error.code })
      caller.closed = new Promise(resolve => caller.socket.on('close', () => {
        caller.hasEnded = true
        resolve()
      }))
      void caller.closed.then(() => resolve(caller))
      caller.socket.on('end', () => { caller.hasEnded = true })
    })
  }

  send (text) {
    this.socket.write(text)
  }

  /** The complete answers so far, and what follows them. */
  read () {
    const answers = []
    let rest = this.received
    for (let next = readAnswer(rest, this.hasEnded); next !== undefined; next = readAnswer(rest, this.hasEnded)) {
      answers.push(next)
      rest = rest.subarray(next.length)
    }
    return { answers, rest }
  }

  close () {
    this.socket.destroy()
  }
}

/** @returns the text of a request */
export function request ({ method = 'POST', target, id, body = '', deadlineMs = 4000, headers = [] }) {
  return [`${method} ${target} HTTP/1.1`, 'Host: forms.example', `Attempt-Id: ${id}`, `Deadline-Ms: ${deadlineMs}`,
    ...headers, ...(body === '' ? [] : [`Content-Length: ${body.length}`]), '', body].join('\r\n')
}

/** Reads one complete answer, or none. */
function readAnswer (bytes, hasEnded) {
  const end = bytes.indexOf('\r\n\r\n')
  if (end === -1) return undefined
  const [line, ...fields] = bytes.toString('latin1', 0, end).split('\r\n')
  const headers = Object.fromEntries(fields.map(field => [
    field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()
  ]))
  const bodyStart = end + 4
  const body = readBody(bytes, bodyStart, headers, hasEnded)
  if (body === undefined) return undefined
  return { line, status: Number(line.split(' ')[1]), headers, body: body.bytes, length: body.end }
}

function readBody (bytes, start, headers, hasEnded) {
  if (headers['transfer-encoding'] === 'chunked') return readChunks(bytes, start)
  if (headers['content-length'] === undefined) {
    return hasEnded ? { bytes: bytes.subarray(start), end: bytes.length } : undefined
  }
  const end = start + Number(headers['content-length'])
  return bytes.length < end ? undefined : { bytes: bytes.subarray(start, end), end }
}

function readChunks (bytes, start) {
  const parts = []
  for (let at = start; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd === -1) return undefined
    const text = bytes.toString('latin1', at, lineEnd)
    if (!/^[0-9a-f]+$/i.test(text)) return undefined
    const size = parseInt(text, 16)
    const next = lineEnd + 2 + size + 2
    if (bytes.length < next) return undefined
    if (size === 0) return { bytes: Buffer.concat(parts), end: next }
    parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size))
    at = next
  }
}
