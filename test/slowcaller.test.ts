import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { Flood } from './flood.js'
import { deployment, respond, Rig, route, type Script } from './rig.js'

const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']
const HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\n'
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`

/** Most bytes that a server may get rid of before its stream stops, with the system's socket buffers. */
const MAX_SENT_BYTES = 24 << 20

/** Timeout of a route, in milliseconds. */
const ROUTE_TIMEOUT_MS = 1_500

/** Latest time at which a connection is closed after the timeout of its route, in milliseconds. */
const TIMEOUT_MARGIN_MS = 200

/** Time for which a slow caller does not read, in milliseconds; longer than the time-out for silent servers. */
const CALLER_PAUSE_MS = 2_500

function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

describe('a caller that does not read', { timeout: 60_000 }, () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  // Guards against buffering a stream in memory that its caller does not read.
  it('stops the stream at its server, which is closed at the deadline', async () => {
    const floods: Flood[] = []
    const currentDeployment = deployment({
      routes: [route({ retrySafety: RetrySafety.stream, timeoutMs: ROUTE_TIMEOUT_MS })]
    })
    const started = await Rig.start(currentDeployment, (_, __, socket) => {
      floods.push(new Flood(socket, STREAM_HEAD, chunk('data: x\n\n'.repeat(100))))
    })
    rig = started.rig
    const caller = await rig.connect()
    caller.socket.pause()
    caller.send(POST, 'x')
    await sleep(ROUTE_TIMEOUT_MS + TIMEOUT_MARGIN_MS)
    expect(floods.map(flood => [flood.wasClosed, flood.sentBytes <= MAX_SENT_BYTES])).toEqual([[true, true]])
    caller.socket.destroy()
  })

  // Guards against taking a server for silent whose stream waits for its caller.
  it('does not count as silence of the server, and gets the rest when it reads again', async () => {
    const eventCount = 150_000
    const stream = Array.from({ length: eventCount }, (_, i) => `id: ${i + 1}\ndata: ${'x'.repeat(30)}\n\n`).join('')
    const currentDeployment = deployment({
      routes: [route({ retrySafety: RetrySafety.stream, isResumable: true, timeoutMs: 10_000 })]
    })
    const send: Script = (_, __, socket) => socket.write(STREAM_HEAD + chunk(stream) + '0\r\n\r\n')
    const started = await Rig.start(currentDeployment, send, send)
    rig = started.rig
    const caller = await rig.connect()
    caller.socket.pause()
    caller.send(POST, 'x')
    await sleep(CALLER_PAUSE_MS)
    caller.socket.resume()
    await caller.waitFor('0\r\n\r\n')
    expect(rig.log.find('lost')).toEqual([])
    expect([...caller.text.matchAll(/id: (\d+)/g)].length).toEqual(eventCount)
    caller.socket.destroy()
  })

  // Guards against losing the rest of a large response whose caller reads late.
  it('gets a large response that is not a stream when it reads again', async () => {
    const body = 'x'.repeat(3 << 20)
    const started = await Rig.start(deployment(), (_, __, socket) => {
      respond(socket, '200 OK', body, ['x-attempt: a1'])
    })
    rig = started.rig
    const caller = await rig.connect()
    caller.socket.pause()
    caller.send(['GET /a HTTP/1.1', 'x-attempt: a1', 'Connection: close'])
    await sleep(CALLER_PAUSE_MS)
    caller.socket.resume()
    const text = await caller.readToEnd()
    expect(text.length - text.indexOf('\r\n\r\n') - 4).toEqual(body.length)
  })
})
