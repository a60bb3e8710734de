import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { deployment, organisation, respond, Rig, route, type Script } from './rig.js'

const GET = ['GET /a HTTP/1.1', 'x-attempt: a1']
const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']
const succeed: Script = (_, __, socket) => respond(socket, '200 OK', 'fine', ['x-attempt: a1'])

function statusOf (text: string): number {
  return Number(text.split(' ')[1])
}

function bodyOf (text: string): string {
  return text.slice(text.indexOf('\r\n\r\n') + 4)
}

function events (from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_, i) => `id: ${from + i}\ndata: x\n\n`).join('')
}

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nx-attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n'

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

describe('forwarding', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  it('forwards path, query and body unchanged and sets the organisation header itself', async () => {
    const currentDeployment = deployment({ routes: [route({ isPublic: false })], organisations: [organisation('o')] })
    const started = await Rig.start(currentDeployment, succeed)
    rig = started.rig
    const head = ['POST /%41/..%2f?q=%20 HTTP/1.1', 'x-attempt: a1', 'x-key: key-of-o', 'x-organisation: forged',
      'x-server: forged', 'x-reserved: forged', 'x-deadline: 1000']
    expect(statusOf(await rig.request(head, 'body'))).toEqual(200)
    const forwardedRequest = started.servers[0]!.requests[0]!
    expect(forwardedRequest).toInclude('POST /%41/..%2f?q=%20 HTTP/1.1')
    expect(forwardedRequest).toInclude('x-organisation: o\r\n')
    expect(forwardedRequest).toInclude('x-server: server-0\r\n')
    expect(forwardedRequest.endsWith('\r\n\r\nbody')).toEqual(true)
    expect(/forged|key-of-o/.test(forwardedRequest)).toEqual(false)
  })

  it('refuses unknown routes, unknown keys and oversized requests before a server receives anything', async () => {
    const currentDeployment = deployment({
      routes: [route({ prefix: '/a/', isPublic: false })],
      organisations: [organisation('o')],
      limits: { maxHeaderBytes: 1_000, maxBodyBytes: 10, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
    })
    const started = await Rig.start(currentDeployment, succeed)
    rig = started.rig
    expect(statusOf(await rig.request(['GET /b/ HTTP/1.1']))).toEqual(404)
    expect(statusOf(await rig.request(['GET /a/ HTTP/1.1', 'x-key: nobody']))).toEqual(401)
    expect(statusOf(await rig.request(['POST /a/ HTTP/1.1', 'x-key: key-of-o'], 'x'.repeat(11)))).toEqual(413)
    expect(statusOf(await rig.request(['GET /a/ HTTP/1.1', `x-long: ${'x'.repeat(1_000)}`]))).toEqual(431)
    expect(statusOf(await rig.request(['GET /a/ HTTP/9', 'x-key: key-of-o']))).toEqual(400)
    expect(started.servers[0]!.requests).toEqual([])
  })

  it('forwards a short response without a length without adding one, since it may be truncated', async () => {
    const started = await Rig.start(deployment(), (_, __, socket) => {
      socket.end('HTTP/1.1 200 OK\r\nx-attempt: a1\r\n\r\nhalf')
    })
    rig = started.rig
    const text = await rig.request(GET)
    expect(statusOf(text)).toEqual(200)
    expect(bodyOf(text)).toEqual('half')
    expect(/content-length|transfer-encoding/i.test(text)).toEqual(false)
  })

  // Guards against a long body without an end of its own, which the end of a killed host's connections would complete.
  it('states the length of a long response that its server sent without one', async () => {
    const body = 'x'.repeat(20_000)
    const started = await Rig.start(deployment(), (_, __, socket) => {
      socket.end(`HTTP/1.1 200 OK\r\nx-attempt: a1\r\n\r\n${body}`)
    })
    rig = started.rig
    const text = await rig.request(GET)
    expect(bodyOf(text)).toEqual(body)
    expect(/\ncontent-length: 20000\r/i.test(text)).toEqual(true)
  })

  it('responds with 502, without a retry, if the response to an unsafe request is cut off by a reset', async () => {
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.unsafe })]
    }), (_, __, socket) => {
      socket.write('HTTP/1.1 200 OK\r\nx-attempt: a1\r\n\r\nhalf')
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
    rig = started.rig
    expect(statusOf(await rig.request(POST, 'x'))).toEqual(502)
    expect(started.servers[0]!.requests.length).toEqual(1)
  })

  it('retries a safe request on a second server', async () => {
    const fail: Script = (_, __, socket) => respond(socket, '500 Fault', 'bad', ['x-attempt: a1'])
    const started = await Rig.start(deployment(), fail, succeed)
    rig = started.rig
    for (let i = 0; i < 4; i++) expect(statusOf(await rig.request(GET))).toEqual(200)
  })

  it('responds with 503 and a retry time if the server reports that it did not run the request', async () => {
    const refuse: Script = (_, __, socket) => respond(socket, '503 Full', '', ['x-attempt: a1', 'x-not-run: 1'])
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.unsafe, maxAttempts: 1 })]
    }), refuse)
    rig = started.rig
    const text = await rig.request(POST, 'x')
    expect(statusOf(text)).toEqual(503)
    expect(/retry-after: /i.test(text)).toEqual(true)
  })

  it('responds with 504 at the timeout of the route, and cancels the request at the server', async () => {
    let isClosed = false
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.unsafe, timeoutMs: 100 })]
    }),
    (_, __, socket) => { socket.on('close', () => { isClosed = true }) })
    rig = started.rig
    expect(statusOf(await rig.request(POST, 'x'))).toEqual(504)
    await new Promise(resolve => setTimeout(resolve, 20))
    expect(isClosed).toEqual(true)
  })

  it('rejects a response that belongs to another request', async () => {
    const started = await Rig.start(deployment({ routes: [route({ retrySafety: RetrySafety.unsafe })] }),
      (_, __, socket) => respond(socket, '200 OK', 'late', ['x-attempt: another']))
    rig = started.rig
    expect(statusOf(await rig.request(POST, 'x'))).toEqual(502)
  })

  it('sends nothing to a server that this host knows to be draining, though the scheduler does not yet', async () => {
    const started = await Rig.start(deployment(), succeed, succeed)
    rig = started.rig
    rig.drain(0)
    for (let i = 0; i < 4; i++) expect(statusOf(await rig.request(GET))).toEqual(200)
    expect(started.servers[0]!.requests).toEqual([])
  })

  it('does not count a request that cannot be sent as a failure of a server', async () => {
    const started = await Rig.start(deployment(), succeed)
    rig = started.rig
    for (let i = 0; i < 3; i++) expect(statusOf(await rig.request([...GET, 'Host: b.example']))).toEqual(400)
    expect(statusOf(await rig.request(GET))).toEqual(200)
    expect(started.servers[0]!.requests.length).toEqual(1)
  })

  it('cancels the request at the server when the caller disconnects', async () => {
    let closedCount = 0
    const started = await Rig.start(deployment(), (_, __, socket) => { socket.on('close', () => { closedCount++ }) })
    rig = started.rig
    const caller = await rig.connect()
    caller.send(GET)
    while (started.servers[0]!.requests.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
    caller.socket.destroy()
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(closedCount).toEqual(1)
  })
})

describe('forwarded streams', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })
  const resumableDeployment = deployment({ routes: [route({ retrySafety: RetrySafety.stream, isResumable: true })] })

  it('resume at another server after the last complete event', async () => {
    const abort: Script = (_, __, socket) => {
      socket.write(STREAM_HEAD + chunk(events(1, 2) + 'id: 3\nda'))
      setTimeout(() => socket.resetAndDestroy(), 20)
    }
    const resume: Script = (request, __, socket) => {
      const lastEventId = Number(/x-last-event: (\d+)/.exec(request)?.[1] ?? 0)
      socket.write(STREAM_HEAD + chunk(events(lastEventId + 1, 4)) + '0\r\n\r\n')
    }
    const started = await Rig.start(resumableDeployment, abort, resume)
    rig = started.rig
    const texts = [await rig.request(POST, 'x'), await rig.request(POST, 'x')]
    for (const text of texts) {
      expect([...text.matchAll(/id: (\d+)/g)].map(match => match[1])).toEqual(['1', '2', '3', '4'])
      expect(text.endsWith('0\r\n\r\n')).toEqual(true)
    }
  })

  it('are cut off, not ended cleanly, if they cannot be resumed', async () => {
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.stream })]
    }), (_, __, socket) => {
      socket.write(STREAM_HEAD + chunk(events(1, 2)))
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
    rig = started.rig
    const text = await rig.request(POST, 'x')
    expect(text).toInclude('id: 2')
    expect(text.endsWith('0\r\n\r\n')).toEqual(false)
    expect(started.servers[0]!.requests.length).toEqual(1)
  })

  it('are cut off if the server ends within an event', async () => {
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.stream })]
    }), (_, __, socket) => {
      socket.write(STREAM_HEAD + chunk(events(1, 2) + 'id: 3') + '0\r\n\r\n')
    })
    rig = started.rig
    expect((await rig.request(POST, 'x')).endsWith('0\r\n\r\n')).toEqual(false)
  })
})

describe('a planned shutdown', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  it('closes a connection after the response in progress', async () => {
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.stream })]
    }), (_, __, socket) => {
      socket.write(STREAM_HEAD + chunk(events(1, 1)))
      setTimeout(() => socket.write(chunk(events(2, 2)) + '0\r\n\r\n'), 60)
    })
    rig = started.rig
    const caller = await rig.connect()
    caller.send(POST, 'x')
    await caller.waitFor('id: 1')
    rig.isClosing = true
    const closingAt = performance.now()
    const text = await caller.readToEnd()
    expect(text.endsWith('0\r\n\r\n')).toEqual(true)
    // Well before the idle timeout, which would close the connection too.
    expect(performance.now() - closingAt < 3_000).toEqual(true)
  })

  it('refuses requests once it stops accepting them', async () => {
    const started = await Rig.start(deployment(), succeed)
    rig = started.rig
    rig.isAccepting = false
    expect(statusOf(await rig.request(GET))).toEqual(503)
    expect(started.servers[0]!.requests).toEqual([])
  })
})
