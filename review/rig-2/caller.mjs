import { connect } from 'node:net'

/** One channel of a caller. It sends bytes, and splits what arrives into the answers that the protocol shows. */
export class Channel {
  bytes = Buffer.alloc(0)
  isClosed = false
  wasReset = false

  constructor (address) {
    const [host, port] = address.split(':')
    this.openedAt = Date.now()
    this.socket = connect({ host, port: Number(port), noDelay: true })
    this.socket.on('data', chunk => { this.bytes = Buffer.concat([this.bytes, chunk]) })
    this.socket.on('error', error => { this.wasReset = error.code === 'ECONNRESET' })
    this.socket.on('close', () => {
      this.isClosed = true
      this.closedAt = Date.now()
    })
  }

  send (text) {
    this.socket.write(text)
  }

  close () {
    this.socket.destroy()
  }

  /** The answers so far, in order; of the last one, whether it is complete. */
  get answers () {
    const answers = []
    let rest = this.bytes.toString('latin1')
    while (rest !== '') {
      const answer = parseAnswer(rest, this.isClosed)
      answers.push(answer)
      if (!answer.isComplete) break
      rest = rest.slice(answer.length)
    }
    return answers
  }

  /** Waits for a number of complete answers, or for the end of the channel. */
  async untilAnswered (count, timeoutMs = 20_000) {
    const end = Date.now() + timeoutMs
    while (Date.now() < end && !this.isClosed && this.answers.filter(answer => answer.isComplete).length < count) {
      await new Promise(resolve => setTimeout(resolve, 10))
    }
    return this.answers
  }
}

function parseAnswer (text, isClosed) {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd === -1) return { isComplete: false, isHead: false, rest: text.slice(0, 200) }
  const [line, ...fields] = text.slice(0, headEnd).split('\r\n')
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(line)?.[1] ?? NaN)
  const headers = Object.fromEntries(fields.map(field => {
    const colon = field.indexOf(':')
    return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()]
  }))
  const bodyAt = headEnd + 4
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, ...parseChunks(text, bodyAt) }
  if (headers['content-length'] === undefined) {
    return { status, headers, body: text.slice(bodyAt), isComplete: isClosed, length: text.length }
  }
  const length = bodyAt + Number(headers['content-length'])
  return { status, headers, body: text.slice(bodyAt, length), isComplete: text.length >= length, length }
}

function parseChunks (text, start) {
  let body = ''
  for (let at = start; ;) {
    const lineEnd = text.indexOf('\r\n', at)
    if (lineEnd === -1) return { body, isComplete: false, isValid: true }
    const size = text.slice(at, lineEnd)
    if (!/^[0-9a-f]+$/i.test(size)) return { body, isComplete: false, isValid: false, rest: text.slice(at, at + 200) }
    const bytes = parseInt(size, 16)
    const next = lineEnd + 2 + bytes + 2
    if (text.length < next) return { body: body + text.slice(lineEnd + 2), isComplete: false, isValid: true }
    if (bytes === 0) return { body, isComplete: true, isValid: true, length: next }
    body += text.slice(lineEnd + 2, lineEnd + 2 + bytes)
    at = next
  }
}

/** The text of one request. */
export function requestText (method, path, { attempt, key = 'key-a', deadlineMs = 4_000, headers = {}, body = '' }) {
  const lines = [`${method} ${path} HTTP/1.1`, 'Host: site.example', `Attempt-Id: ${attempt}`,
    `Deadline-Ms: ${deadlineMs}`, `Key: ${key}`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)]
  if (method !== 'GET' || body !== '') lines.push(`Content-Length: ${Buffer.byteLength(body)}`)
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}

/** Sends one request on a channel of its own, and waits for its end. */
export async function call (address, method, path, options) {
  const channel = new Channel(address)
  channel.send(requestText(method, path, options))
  const [answer] = await channel.untilAnswered(1, options.waitMs)
  const isComplete = answer?.isComplete === true && !channel.wasReset
  channel.close()
  return { ...answer, isComplete, openedAt: channel.openedAt, endedAt: Date.now() }
}
