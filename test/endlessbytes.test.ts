import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { FloodingScript } from './flood.js'
import { deployment, respond, Rig, route, type Script } from './rig.js'

const GET = ['GET /a HTTP/1.1', 'x-attempt: a1']
const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']
const HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\n'
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`

/** Most bytes that a server may get rid of before its connection is closed, with the system's socket buffers. */
const MAX_SENT_BYTES = 24 << 20

/** Latest time of the final response, in milliseconds; well before the deadline and any time-out for silence. */
const RESPONSE_WITHIN_MS = 900

/** Timeout of the routes in these tests, in milliseconds. */
const ROUTE_TIMEOUT_MS = 3_000

const unsafeRoute = route({ retrySafety: RetrySafety.unsafe, timeoutMs: ROUTE_TIMEOUT_MS })
const safeRoute = route({ timeoutMs: ROUTE_TIMEOUT_MS, objectiveMs: 1_000 })
const streamRoute = route({ retrySafety: RetrySafety.stream, timeoutMs: ROUTE_TIMEOUT_MS })
const resumableRoute = route({ ...streamRoute, isResumable: true, objectiveMs: 1_000 })

const succeed: Script = (_, __, socket) => respond(socket, '200 OK', 'fine', ['x-attempt: a1'])

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

interface EndlessBytes {
  readonly name: string
  readonly start: string
  readonly unit: string
}

/** Bytes that never become a complete response on any route. */
const ENDLESS_HEADS: readonly EndlessBytes[] = [
  { name: 'a status line', start: 'HTTP/1.1 200 ', unit: 'OK' },
  { name: 'header lines', start: HEAD, unit: 'x-a: b\r\n' },
  { name: 'header lines without a value', start: HEAD, unit: 'a:\r\n' },
  { name: 'one header value', start: `${HEAD}x-a: `, unit: 'b' },
  { name: 'one header name', start: HEAD, unit: 'x' },
  { name: 'line ends before the status line', start: '', unit: '\r\n' },
  { name: 'interim responses', start: '', unit: 'HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n' },
  { name: 'interim responses 100', start: '', unit: 'HTTP/1.1 100 Continue\r\n\r\n' },
  { name: 'bytes that are not HTTP', start: '', unit: '\u0000\u00ff garbage \u0007' },
  { name: 'letters', start: '', unit: 'H' }
]

/** Bodies that never end, after a complete head. */
const ENDLESS_BODIES: readonly EndlessBytes[] = [
  { name: 'a body of text without a length', start: `${HEAD}\r\n`, unit: 'text ' },
  { name: 'a binary body without a length', start: `${HEAD}\r\n`, unit: '\u0000\u00ff\u0080' },
  { name: 'a body of 2^40 bytes', start: `${HEAD}Content-Length: ${2 ** 40}\r\n\r\n`, unit: 'x' },
  { name: 'chunks', start: CHUNKED_HEAD, unit: chunk('x'.repeat(1_000)) },
  { name: 'chunks of one byte', start: CHUNKED_HEAD, unit: chunk('x') },
  { name: 'one chunk extension', start: `${CHUNKED_HEAD}1;a=`, unit: 'b' },
  { name: 'chunks with long extensions', start: CHUNKED_HEAD, unit: `1;a=${'b'.repeat(60_000)}\r\nx\r\n` },
  { name: 'zeros before a chunk size', start: CHUNKED_HEAD, unit: '0' },
  { name: 'trailers', start: `${CHUNKED_HEAD}0\r\n`, unit: 'x-a: b\r\n' },
  { name: 'the body of a failure', start: 'HTTP/1.1 500 Fault\r\nx-attempt: a1\r\n\r\n', unit: 'bad ' },
  {
    name: 'the body of a refusal',
    start: 'HTTP/1.1 503 Full\r\nx-attempt: a1\r\nx-not-run: 1\r\n\r\n',
    unit: 'full '
  },
  { name: 'the body of a misdirected request', start: 'HTTP/1.1 421 Other\r\nx-attempt: a1\r\n\r\n', unit: 'other ' }
]

/** Streams of which the caller gets nothing, since no event is ever complete. */
const ENDLESS_EVENTS: readonly EndlessBytes[] = [
  { name: 'one event', start: `${STREAM_HEAD}${chunk('id: 1\ndata: ')}`, unit: chunk('x'.repeat(1_000)) },
  { name: 'one event in chunks of one byte', start: `${STREAM_HEAD}${chunk('id: 1\ndata: ')}`, unit: chunk('x') },
  { name: 'one event without a length', start: `${HEAD}\r\nid: 1\ndata: `, unit: 'x' },
  { name: 'lines of one event', start: `${HEAD}\r\nid: 1\n`, unit: 'data: x\n' },
  { name: 'a chunk extension of a stream', start: `${STREAM_HEAD}1;a=`, unit: 'b' },
  { name: 'trailers of a stream', start: `${STREAM_HEAD}0\r\n`, unit: 'x-a: b\r\n' }
]

/** Streams that go on after their first event without a new one. */
const ENDLESS_STREAMS: readonly EndlessBytes[] = [
  { name: 'comments', start: `${STREAM_HEAD}${chunk('id: 1\ndata: x\n\n')}`, unit: chunk(': comment\n\n'.repeat(100)) },
  {
    name: 'events with the same id',
    start: `${STREAM_HEAD}${chunk('id: 1\ndata: x\n\n')}`,
    unit: chunk('id: 1\ndata: x\n\n'.repeat(100))
  },
  { name: 'line ends', start: `${STREAM_HEAD}${chunk('id: 1\ndata: x\n\n')}`, unit: chunk('\n'.repeat(1_000)) },
  { name: 'events without an id', start: `${STREAM_HEAD}${chunk('id: 1\ndata: x\n\n')}`, unit: chunk('data: x\n\n'.repeat(100)) }
]

describe('endless bytes from a server', { timeout: 60_000 }, () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  /** Checks that the connection was closed early and that the log says what the server sent. */
  async function expectClosed (flooding: FloodingScript): Promise<void> {
    await sleep(50)
    expect(flooding.floods.length > 0).toEqual(true)
    for (const flood of flooding.floods) {
      expect([flood.wasClosed, flood.sentBytes <= MAX_SENT_BYTES]).toEqual([true, true])
    }
    const lost = rig.log.find('lost')
    expect(lost.length).toEqual(flooding.floods.length)
    for (const record of lost) {
      expect(record['outcome']).toEqual('broken')
      expect(record['reason']).not.toEqual('')
    }
  }

  /** Sends one request and returns the response and the time that it took, in milliseconds. */
  async function measure (head: string[], body = ''): Promise<{ text: string, ms: number }> {
    const startedAt = performance.now()
    const text = await rig.request(head, body)
    return { text, ms: performance.now() - startedAt }
  }

  for (const { name, start, unit } of [...ENDLESS_HEADS, ...ENDLESS_BODIES]) {
    // Guards against reading from a server without end while the caller waits until its deadline.
    it(`close the connection and get 502 on an unsafe route: ${name}`, async () => {
      const flooding = new FloodingScript(start, unit)
      rig = (await Rig.start(deployment({ routes: [unsafeRoute] }), flooding.script)).rig
      const { text, ms } = await measure(POST, 'x')
      expect(text).toInclude('HTTP/1.1 502 ')
      expect(ms).toBeLessThan(RESPONSE_WITHIN_MS)
      await expectClosed(flooding)
    })
  }

  for (const { name, start, unit } of [...ENDLESS_HEADS, ...ENDLESS_BODIES]) {
    // Guards against a server that sends without end holding a request that another server could answer.
    it(`leave time for another server on a safe route: ${name}`, async () => {
      const flooding = new FloodingScript(start, unit)
      rig = (await Rig.start(deployment({ routes: [safeRoute] }), flooding.script, succeed)).rig
      while (flooding.floods.length === 0) {
        const { text, ms } = await measure(GET)
        expect(text).toInclude('HTTP/1.1 200 ')
        expect(text.endsWith('\r\n\r\nfine')).toEqual(true)
        expect(ms).toBeLessThan(RESPONSE_WITHIN_MS)
      }
      await expectClosed(flooding)
    })
  }

  for (const { name, start, unit } of [...ENDLESS_HEADS, ...ENDLESS_EVENTS]) {
    // Guards against reading a stream without end of which the caller gets nothing.
    it(`close the connection and get 502 on a stream route: ${name}`, async () => {
      const flooding = new FloodingScript(start, unit)
      rig = (await Rig.start(deployment({ routes: [streamRoute] }), flooding.script)).rig
      const { text, ms } = await measure(POST, 'x')
      expect(text).toInclude('HTTP/1.1 502 ')
      expect(ms).toBeLessThan(RESPONSE_WITHIN_MS)
      await expectClosed(flooding)
    })
  }

  for (const { name, start, unit } of ENDLESS_STREAMS) {
    // Guards against a stream that goes on without a new event until the deadline.
    it(`cut off a stream that cannot be resumed: ${name}`, async () => {
      const flooding = new FloodingScript(start, unit)
      rig = (await Rig.start(deployment({ routes: [streamRoute] }), flooding.script)).rig
      const { text, ms } = await measure(POST, 'x')
      expect([...text.matchAll(/id: (\d+)/g)].map(match => match[1])).toEqual(['1'])
      expect(text.endsWith('0\r\n\r\n')).toEqual(false)
      expect(ms).toBeLessThan(RESPONSE_WITHIN_MS)
      await expectClosed(flooding)
    })

    // Guards against a stream that goes on without a new event though another server could continue it.
    it(`let another server continue a stream: ${name}`, async () => {
      const flooding = new FloodingScript(start, unit)
      const resume: Script = (request, _, socket) => {
        const lastEventId = Number(/x-last-event: (\d+)/.exec(request)?.[1] ?? 0)
        const rest = [1, 2, 3].filter(id => id > lastEventId).map(id => `id: ${id}\ndata: x\n\n`).join('')
        socket.write(STREAM_HEAD + chunk(rest) + '0\r\n\r\n')
      }
      rig = (await Rig.start(deployment({ routes: [resumableRoute] }), flooding.script, resume)).rig
      while (flooding.floods.length === 0) {
        const { text, ms } = await measure(POST, 'x')
        expect([...text.matchAll(/id: (\d+)/g)].map(match => match[1])).toEqual(['1', '2', '3'])
        expect(text.endsWith('0\r\n\r\n')).toEqual(true)
        expect(ms).toBeLessThan(RESPONSE_WITHIN_MS)
      }
      await expectClosed(flooding)
    })
  }
})
