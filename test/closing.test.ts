import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { deployment, respond, Rig, route, type Script } from './rig.js'
import { eventChunk, STREAM_END, STREAM_HEAD } from './streams.js'

const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']

function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

/** Streams a response to each request that takes 100 ms. */
const streamSlowly: Script = (_, __, socket) => {
  socket.write(STREAM_HEAD + eventChunk(1))
  setTimeout(() => socket.write(eventChunk(2) + STREAM_END), 100)
}

describe('a stopping host whose response was started before', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  // Guards against: a request that arrived while the connection was being closed ran, and its caller got no response.
  it('does not send on a request that crosses the end of its connection', async () => {
    const started = await Rig.start(deployment({ routes: [route({ retrySafety: RetrySafety.stream })] }), streamSlowly)
    rig = started.rig
    const caller = await rig.connect()
    caller.send(POST, 'x')
    await caller.waitFor('id: 1')
    rig.isClosing = true
    caller.socket.prependOnceListener('data', () => caller.send(POST, 'y'))
    await caller.readToEnd()
    await pause(50)
    expect(started.servers[0]!.requests.length).toEqual(1)
  })

  // Guards against: the connection was closed after the first of two pipelined requests, the second had no response.
  it('responds to a pipelined request before it closes the connection', async () => {
    const started = await Rig.start(deployment({ routes: [route({ retrySafety: RetrySafety.stream })] }), streamSlowly)
    rig = started.rig
    const caller = await rig.connect()
    caller.send(POST, 'x')
    await caller.waitFor('id: 1')
    caller.send(POST, 'y')
    await pause(30)
    rig.isClosing = true
    expect((await caller.readToEnd()).split(STREAM_END).length - 1).toEqual(2)
  })
})

describe('a stopping host with several requests of one connection', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  // Guards against: the response to the first request ended the connection, and those sent on behind it had none.
  it('closes the connection after the last response', async () => {
    const started = await Rig.start(deployment(), (request, _, socket) => {
      const id = /x-attempt: (\w+)/.exec(request)![1]!
      setTimeout(() => respond(socket, '200 OK', id, [`x-attempt: ${id}`]), 100)
    })
    rig = started.rig
    const caller = await rig.connect()
    for (const id of ['a1', 'a2', 'a3']) caller.send(['POST /a HTTP/1.1', `x-attempt: ${id}`], 'x')
    await pause(30)
    rig.isClosing = true
    const text = await caller.readToEnd()
    expect(text.match(/\r\n\r\na\d/g)?.map(end => end.trim())).toEqual(['a1', 'a2', 'a3'])
    expect(/connection: close/i.test(text.slice(text.indexOf('a2')))).toEqual(true)
  })
})

describe('a connection whose request does not arrive in time', () => {
  let rig: Rig
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1 << 20, headerTimeoutMs: 200, idleTimeoutMs: 5_000 }
  afterEach(async () => { await rig.close() })

  // Guards against: a caller that opened its connection early got 400 for a proper request.
  it('is closed without a response if nothing was received', async () => {
    rig = (await Rig.start(deployment({ limits }))).rig
    expect(await (await rig.connect()).readToEnd()).toEqual('')
  })

  // Guards against: a caller whose headers were slow got 400, which says that its request is wrong.
  it('gets status 408 if part of the headers was received', async () => {
    rig = (await Rig.start(deployment({ limits }))).rig
    const caller = await rig.connect()
    caller.socket.write('POST /a HTTP/1.1\r\nHost: a.example\r\n')
    expect((await caller.readToEnd()).split('\r\n')[0]).toEqual('HTTP/1.1 408 Request Timeout')
  })

  // Guards against: a request ran whose caller had got 408 while its headers were still arriving.
  it('sends on no request whose headers arrive after the response', async () => {
    const started = await Rig.start(deployment({ limits }), (_, __, socket) => respond(socket, '200 OK', 'x'))
    rig = started.rig
    const caller = await rig.connect()
    caller.socket.write('POST /a HTTP/1.1\r\nHost: a.example\r\n')
    caller.socket.once('data', () => caller.socket.write('x-attempt: a1\r\n\r\n'))
    await caller.readToEnd()
    await pause(100)
    expect(started.servers[0]!.requests).toEqual([])
  })
})

/** Polls until a condition that does not hold counts as a failure, 20 ms apart. */
const MAX_POLLS = 200

describe('a connection with several requests that ends', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  // Guards against requests that run on for nobody, and are kept for ever, behind the first of their connection.
  it('ends all of its requests at their servers, and counts none any more', async () => {
    const ended = new Set<string>()
    const wait: Script = (request, _, socket) => {
      socket.on('close', () => ended.add(/x-attempt: (\w+)/.exec(request)![1]!))
    }
    const started = await Rig.start(deployment(), wait)
    rig = started.rig
    const caller = await rig.connect()
    for (const id of ['a1', 'a2', 'a3']) caller.send(['GET /a HTTP/1.1', `x-attempt: ${id}`])
    for (let i = 0; i < MAX_POLLS && started.servers[0]!.requests.length < 3; i++) await pause(20)
    caller.socket.destroy()
    for (let i = 0; i < MAX_POLLS && (ended.size < 3 || rig.activeRequestCount > 0); i++) await pause(20)
    expect([...ended].sort()).toEqual(['a1', 'a2', 'a3'])
    expect(rig.activeRequestCount).toEqual(0)
  })
})
