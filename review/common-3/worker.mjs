/** Stand-in for a worker: an HTTP/1.1 server on a raw socket, which records what it runs. */
import { createServer } from 'node:net'

export class Worker {
  runs = []
  sockets = new Set()

  /**
   * @param id - its id
   * @param service - its service
   * @param run - handles a request: receives `{ id, target, headers, body, socket, headerLines }`
   */
  constructor (id, service, run, slots = 6) {
    Object.assign(this, { id, service, run, slots, version: 'v1' })
  }

  async listen (ip = '127.0.0.1', port = 0) {
    this.server = createServer(socket => this.accept(socket))
    await new Promise(resolve => this.server.listen(port, ip, resolve))
    this.address = `${ip}:${this.server.address().port}`
    return this
  }

  register (store, state = 'ready') {
    const { id, service, address, version, slots } = this
    store.put('servers', id, {
      service, address, zone: 'qld-a', version, slots, state, cold_remaining_ms: 0, sequence: 1, born: 1780000000000
    })
  }

  accept (socket) {
    this.sockets.add(socket)
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('error', () => undefined)
    let received = Buffer.alloc(0)
    socket.on('data', bytes => {
      received = Buffer.concat([received, bytes])
      for (let request = parse(received); request !== undefined; request = parse(received)) {
        received = received.subarray(request.length)
        this.handle(request, socket)
      }
    })
  }

  handle (request, socket) {
    const expected = request.headers['expected-instance']
    if (expected !== undefined && expected !== this.id) {
      socket.write(`HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`)
      return
    }
    const headerLines = `Attempt-Id: ${request.id}\r\nResponse-Signature: sig.${this.id}.${request.id}\r\n`
    const run = { ...request, socket, headerLines, worker: this.id, at: Date.now() }
    this.runs.push(run)
    this.run(run)
  }

  close () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}

/** Reads one complete request with a Content-Length, or none. */
function parse (received) {
  const end = received.indexOf('\r\n\r\n')
  if (end === -1) return undefined
  const [line, ...fields] = received.toString('latin1', 0, end).split('\r\n')
  const headers = Object.fromEntries(fields.map(field => [
    field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()
  ]))
  const length = end + 4 + Number(headers['content-length'] ?? 0)
  if (received.length < length) return undefined
  const [method, target] = line.split(' ')
  return { method, target, headers, id: headers['attempt-id'], body: received.subarray(end + 4, length), length }
}
