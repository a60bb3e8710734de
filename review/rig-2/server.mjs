import { createServer } from 'node:http'

/**
 * Stand-in for a worker. Each request that it runs is recorded; what it answers is up to `answer`, which gets the
 * request, the response and the record.
 */
export class Server {
  /** Requests that it began to run, and those that it turned away. */
  runs = []
  rejected = []
  state = 'ready'

  /** @param options - id, service and optional fields of the entry */
  static async start ({ id, service, answer = answerAtOnce, ...fields }) {
    const server = new Server()
    Object.assign(server, { id, service, answer, fields, born: Date.now() })
    server.http = createServer((request, response) => { server.handle(request, response) })
    server.http.keepAliveTimeout = 30_000
    await new Promise(resolve => server.http.listen(0, '127.0.0.1', resolve))
    server.address = `127.0.0.1:${server.http.address().port}`
    return server
  }

  /** The entry by which it registers in the store. */
  get entry () {
    const { service, address, state, born } = this
    return {
      service, address, zone: 'z', version: 'v1', slots: 8, state, cold_remaining_ms: 0, sequence: 1, born, ...this.fields
    }
  }

  register (store) {
    store.put('servers', this.id, this.entry)
  }

  close () {
    this.http.close()
    this.http.closeAllConnections()
  }

  async handle (request, response) {
    request.on('error', () => undefined)
    response.on('error', () => undefined)
    const run = {
      at: Date.now(),
      server: this.id,
      attempt: request.headers['attempt-id'],
      method: request.method,
      path: request.url,
      headers: request.headers
    }
    if (request.headers['expected-instance'] !== this.id) {
      response.writeHead(421, { 'instance-id': this.id }).end()
      return
    }
    this.runs.push(run)
    response.on('close', () => {
      run.endedAt = Date.now()
      run.isComplete = response.writableFinished
    })
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    run.body = Buffer.concat(chunks).toString()
    run.wasRead = true
    this.answer(request, response, run, this)
  }
}

/** Headers of each answer of a worker. */
export function answerHeaders (run) {
  return { 'attempt-id': run.attempt ?? '', 'response-signature': `sig.${run.server}` }
}

export function answerAtOnce (request, response, run) {
  response.writeHead(200, answerHeaders(run)).end(`done ${run.attempt} ${run.body}`)
}

/** Answers after a while, unless the caller has gone. */
export function answerAfter (ms) {
  return (request, response, run) => {
    const timer = setTimeout(() => answerAtOnce(request, response, run), ms)
    response.on('close', () => clearTimeout(timer))
  }
}

/** Streams events at an interval, and goes on after Last-Event-Id. */
export function streamEvents (count, gapMs) {
  return (request, response, run) => {
    response.writeHead(200, { ...answerHeaders(run), 'content-type': 'text/event-stream' })
    let id = Number(request.headers['last-event-id'] ?? 0)
    const timer = setInterval(() => {
      id++
      response.write(`id: ${id}\ndata: ${run.attempt} ${id}\n\n`)
      if (id < count) return
      clearInterval(timer)
      response.end()
    }, gapMs)
    response.on('close', () => clearInterval(timer))
  }
}
