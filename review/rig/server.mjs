/** A backend server whose behaviour a case scripts, on raw connections. */
import { createServer } from 'node:net'

/** Splits the requests of one connection; chunked bodies are not needed, since the gateway states lengths. */
function takeRequest (state) {
  const end = state.text.indexOf('\r\n\r\n')
  if (end === -1) return undefined
  const head = state.text.slice(0, end)
  const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0)
  if (state.text.length < end + 4 + length) return undefined
  const body = state.text.slice(end + 4, end + 4 + length)
  state.text = state.text.slice(end + 4 + length)
  const [method, target] = head.split(' ')
  const header = name => new RegExp(`\\r\\n${name}: *([^\\r]*)`, 'i').exec(head)?.[1]
  return { method, target, head, body, attempt: header('attempt-id'), header }
}

/** Listens on loopback and hands each request to a script. */
export class ScriptedServer {
  /** Ids of the attempts that began to run, in order. */
  runs = []
  sockets = new Set()

  static async start (journal, name, script, port = 0) {
    const scripted = new ScriptedServer()
    scripted.name = name
    scripted.server = createServer(socket => {
      scripted.sockets.add(socket)
      socket.on('error', () => undefined)
      socket.on('close', () => scripted.sockets.delete(socket))
      const state = { text: '' }
      socket.on('data', bytes => {
        state.text += bytes.toString('latin1')
        for (let request = takeRequest(state); request !== undefined; request = takeRequest(state)) {
          scripted.runs.push(request.attempt)
          journal.note(`${name}: runs ${request.attempt}`)
          script(request, socket)
        }
      })
    })
    await new Promise((resolve, reject) => scripted.server.once('error', reject).listen(port, '127.0.0.1', resolve))
    scripted.address = `127.0.0.1:${scripted.server.address().port}`
    return scripted
  }

  close () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}

/** A complete answer with a length. */
export function answer (request, body, status = '200 OK', headers = []) {
  return [`HTTP/1.1 ${status}`, `Attempt-Id: ${request.attempt}`, `Response-Signature: s.${request.attempt}`,
    `Content-Length: ${Buffer.byteLength(body)}`, ...headers, '', body].join('\r\n')
}

/** Head of a stream of events; its end is marked by chunks, or by the end of the channel. */
export function streamHead (request, headers) {
  return ['HTTP/1.1 200 OK', `Attempt-Id: ${request.attempt}`, `Response-Signature: s.${request.attempt}`,
    'Content-Type: text/event-stream', ...headers, '', ''].join('\r\n')
}

export function event (id, text) {
  return `id: ${id}\ndata: ${text}\n\n`
}

export function chunk (text) {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
}
