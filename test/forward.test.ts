import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { answer, deployment, organisation, Rig, route, type Script } from './rig.js'

const GET = ['GET /a HTTP/1.1', 'x-attempt: a1']
const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']
const ok: Script = (_, __, socket) => answer(socket, '200 OK', 'fine', ['x-attempt: a1'])

function statusOf (text: string): number {
  return Number(text.split(' ')[1])
}

function bodyOf (text: string): string {
  return text.slice(text.indexOf('\r\n\r\n') + 4)
}

function events (from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_, at) => `id: ${from + at}\ndata: x\n\n`).join('')
}

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nx-attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n'

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

describe('forwarding', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  it('keeps path, query and body to the byte and sets the organisation itself', async () => {
    const current = deployment({ routes: [route({ isPublic: false })], organisations: [organisation('o')] })
    const started = await Rig.start(current, ok)
    rig = started.rig
    const head = ['POST /%41/..%2f?q=%20 HTTP/1.1', 'x-attempt: a1', 'x-key: key-of-o', 'x-organisation: forged',
      'x-server: forged', 'x-reserved: forged', 'x-deadline: 1000']
    expect(statusOf(await rig.ask(head, 'body'))).toEqual(200)
    const sent = started.servers[0]!.requests[0]!
    expect(sent).toInclude('POST /%41/..%2f?q=%20 HTTP/1.1')
    expect(sent).toInclude('x-organisation: o\r\n')
    expect(sent).toInclude('x-server: server-0\r\n')
    expect(sent.endsWith('\r\n\r\nbody')).toEqual(true)
    expect(/forged|key-of-o/.test(sent)).toEqual(false)
  })

  it('refuses unknown routes, keys and long bodies before a server gets anything', async () => {
    const current = deployment({
      routes: [route({ prefix: '/a/', isPublic: false })],
      organisations: [organisation('o')],
      limits: { maxHeaderBytes: 1_000, maxBodyBytes: 10, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 }
    })
    const started = await Rig.start(current, ok)
    rig = started.rig
    expect(statusOf(await rig.ask(['GET /b/ HTTP/1.1']))).toEqual(404)
    expect(statusOf(await rig.ask(['GET /a/ HTTP/1.1', 'x-key: nobody']))).toEqual(401)
    expect(statusOf(await rig.ask(['POST /a/ HTTP/1.1', 'x-key: key-of-o'], 'x'.repeat(11)))).toEqual(413)
    expect(statusOf(await rig.ask(['GET /a/ HTTP/1.1', `x-long: ${'x'.repeat(1_000)}`]))).toEqual(431)
    expect(statusOf(await rig.ask(['GET /a/ HTTP/9', 'x-key: key-of-o']))).toEqual(400)
    expect(started.servers[0]!.requests).toEqual([])
  })

  it('passes an answer without a length on without a length, since it may have been broken off', async () => {
    const started = await Rig.start(deployment(), (_, __, socket) => {
      socket.end('HTTP/1.1 200 OK\r\nx-attempt: a1\r\n\r\nhalf')
    })
    rig = started.rig
    const text = await rig.ask(GET)
    expect(statusOf(text)).toEqual(200)
    expect(bodyOf(text)).toEqual('half')
    expect(/content-length|transfer-encoding/i.test(text)).toEqual(false)
  })

  it('takes an answer that is reset on the way for no answer', async () => {
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.unsafe })]
    }), (_, __, socket) => {
      socket.write('HTTP/1.1 200 OK\r\nx-attempt: a1\r\n\r\nhalf')
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
    rig = started.rig
    expect(statusOf(await rig.ask(POST, 'x'))).toEqual(502)
    expect(started.servers[0]!.requests.length).toEqual(1)
  })

  it('sends a request that may be repeated to a second server, and only that', async () => {
    const bad: Script = (_, __, socket) => answer(socket, '500 Fault', 'bad', ['x-attempt: a1'])
    const started = await Rig.start(deployment(), bad, ok)
    rig = started.rig
    for (let i = 0; i < 4; i++) expect(statusOf(await rig.ask(GET))).toEqual(200)
  })

  it('says that a request was not run only if no server may have run it', async () => {
    const full: Script = (_, __, socket) => answer(socket, '503 Full', '', ['x-attempt: a1', 'x-not-run: 1'])
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.unsafe, maxAttempts: 1 })]
    }), full)
    rig = started.rig
    const text = await rig.ask(POST, 'x')
    expect(statusOf(text)).toEqual(503)
    expect(/retry-after: /i.test(text)).toEqual(true)
  })

  it('answers at the time-out of the route, and stops the server', async () => {
    let closed = false
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.unsafe, timeoutMs: 100 })]
    }),
    (_, __, socket) => { socket.on('close', () => { closed = true }) })
    rig = started.rig
    expect(statusOf(await rig.ask(POST, 'x'))).toEqual(504)
    await new Promise(resolve => setTimeout(resolve, 20))
    expect(closed).toEqual(true)
  })

  it('takes an answer of another request for no answer', async () => {
    const started = await Rig.start(deployment({ routes: [route({ retrySafety: RetrySafety.unsafe })] }),
      (_, __, socket) => answer(socket, '200 OK', 'late', ['x-attempt: another']))
    rig = started.rig
    expect(statusOf(await rig.ask(POST, 'x'))).toEqual(502)
  })

  it('sends nothing to a server whose leaving this host knows, though the scheduler does not yet', async () => {
    const started = await Rig.start(deployment(), ok, ok)
    rig = started.rig
    rig.drain(0)
    for (let i = 0; i < 4; i++) expect(statusOf(await rig.ask(GET))).toEqual(200)
    expect(started.servers[0]!.requests).toEqual([])
  })

  it('holds a request that can not be written against no server', async () => {
    const started = await Rig.start(deployment(), ok)
    rig = started.rig
    for (let i = 0; i < 3; i++) expect(statusOf(await rig.ask([...GET, 'Host: b.example']))).toEqual(400)
    expect(statusOf(await rig.ask(GET))).toEqual(200)
    expect(started.servers[0]!.requests.length).toEqual(1)
  })

  it('stops the server when the caller leaves', async () => {
    let closed = 0
    const started = await Rig.start(deployment(), (_, __, socket) => { socket.on('close', () => { closed++ }) })
    rig = started.rig
    const caller = await rig.connect()
    caller.send(GET)
    while (started.servers[0]!.requests.length === 0) await new Promise(resolve => setTimeout(resolve, 5))
    caller.socket.destroy()
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(closed).toEqual(1)
  })
})

describe('streams', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })
  const resumable = deployment({ routes: [route({ retrySafety: RetrySafety.stream, isResumable: true })] })

  it('go on at another server after the last whole event', async () => {
    const broken: Script = (_, __, socket) => {
      socket.write(STREAM_HEAD + chunk(events(1, 2) + 'id: 3\nda'))
      setTimeout(() => socket.resetAndDestroy(), 20)
    }
    const rest: Script = (request, __, socket) => {
      const last = Number(/x-last-event: (\d+)/.exec(request)?.[1] ?? 0)
      socket.write(STREAM_HEAD + chunk(events(last + 1, 4)) + '0\r\n\r\n')
    }
    const started = await Rig.start(resumable, broken, rest)
    rig = started.rig
    const texts = [await rig.ask(POST, 'x'), await rig.ask(POST, 'x')]
    for (const text of texts) {
      expect([...text.matchAll(/id: (\d+)/g)].map(match => match[1])).toEqual(['1', '2', '3', '4'])
      expect(text.endsWith('0\r\n\r\n')).toEqual(true)
    }
  })

  it('that can not be resumed are cut, not ended', async () => {
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.stream })]
    }), (_, __, socket) => {
      socket.write(STREAM_HEAD + chunk(events(1, 2)))
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
    rig = started.rig
    const text = await rig.ask(POST, 'x')
    expect(text).toInclude('id: 2')
    expect(text.endsWith('0\r\n\r\n')).toEqual(false)
    expect(started.servers[0]!.requests.length).toEqual(1)
  })

  it('that end within an event are not whole', async () => {
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.stream })]
    }), (_, __, socket) => {
      socket.write(STREAM_HEAD + chunk(events(1, 2) + 'id: 3') + '0\r\n\r\n')
    })
    rig = started.rig
    expect((await rig.ask(POST, 'x')).endsWith('0\r\n\r\n')).toEqual(false)
  })
})

describe('a planned stop', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  it('ends a connection after the answer that was begun before it', async () => {
    const started = await Rig.start(deployment({
      routes: [route({ retrySafety: RetrySafety.stream })]
    }), (_, __, socket) => {
      socket.write(STREAM_HEAD + chunk(events(1, 1)))
      setTimeout(() => socket.write(chunk(events(2, 2)) + '0\r\n\r\n'), 60)
    })
    rig = started.rig
    const caller = await rig.connect()
    caller.send(POST, 'x')
    await caller.until('id: 1')
    rig.isClosing = true
    const stoppedAt = performance.now()
    const text = await caller.readToEnd()
    expect(text.endsWith('0\r\n\r\n')).toEqual(true)
    // Far sooner than the idle time-out, which would end the connection too.
    expect(performance.now() - stoppedAt < 3_000).toEqual(true)
  })

  it('takes no request any more once callers had time to go elsewhere', async () => {
    const started = await Rig.start(deployment(), ok)
    rig = started.rig
    rig.isTaking = false
    expect(statusOf(await rig.ask(GET))).toEqual(503)
    expect(started.servers[0]!.requests).toEqual([])
  })
})
