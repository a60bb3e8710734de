import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '../src/base/index.js'
import { EventSplitter } from '../src/engine/index.js'
import { BodyBuffer } from '../src/forward/bodybuffer.js'
import { BufferBudget, type BufferOwner } from '../src/forward/index.js'
import { RetrySafety, type Route } from '../src/routing/index.js'
import { FloodingScript } from './flood.js'
import { deployment, Rig, route } from './rig.js'

const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']
const HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\n'
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`

const MEGABYTE = 1 << 20

/** Requests in flight at once, four at each server. */
const REQUESTS = 100
const SERVERS = 25

/** Most memory that all responses in progress may use in a process that has 200 MB, of which it needs half idle. */
const MAX_GROWTH_BYTES = 64 << 20

/** Interval at which the memory in use is sampled, in milliseconds. */
const SAMPLE_INTERVAL_MS = 5

/** Latest time of the final responses to all requests, in milliseconds; before their deadline. */
const RESPONSES_WITHIN_MS = 5_000

/** Time after which a test of responses fails, in milliseconds. */
const TEST_TIMEOUT_MS = 15_000

/** Longest time in which an event of the greatest size is split from small chunks, in milliseconds. */
const MAX_SPLIT_MS = 1_000

const unsafeRoute = route({ retrySafety: RetrySafety.unsafe, timeoutMs: 8_000, objectiveMs: 4_000 })
const streamRoute = route({ ...unsafeRoute, retrySafety: RetrySafety.stream })

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

/** @returns memory in use by objects and buffers, in bytes */
function memoryInUse (): number {
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

const CASES: ReadonlyArray<readonly [name: string, route: Route, start: string, unit: string]> = [
  ['header lines without a value', unsafeRoute, HEAD, 'a:\r\n'],
  ['header lines', unsafeRoute, HEAD, 'a:b\r\n'],
  ['one header value', unsafeRoute, `${HEAD}x-a: `, 'b'],
  ['a body without a length', unsafeRoute, `${HEAD}\r\n`, 'text '],
  ['a body in large chunks', unsafeRoute, CHUNKED_HEAD, chunk('x'.repeat(60_000))],
  ['a body in chunks of one byte', unsafeRoute, CHUNKED_HEAD, chunk('x')],
  ['the body of a failure', unsafeRoute, 'HTTP/1.1 500 Fault\r\nx-attempt: a1\r\n\r\n', 'bad '],
  ['trailers', unsafeRoute, `${CHUNKED_HEAD}0\r\n`, 'a:\r\n'],
  ['one event', streamRoute, `${HEAD}\r\nid: 1\ndata: `, 'x'],
  ['one event in chunks of one byte', streamRoute, `${CHUNKED_HEAD}${chunk('id: 1\ndata: ')}`, chunk('x')]
]

describe('a hundred responses without end at once', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  for (const [name, currentRoute, start, unit] of CASES) {
    // Guards against the end of the process because the responses together need more memory than a host has.
    it(`need a bounded amount of memory: ${name}`, { timeout: TEST_TIMEOUT_MS }, async () => {
      const flooding = new FloodingScript(start, unit)
      const scripts = Array.from({ length: SERVERS }, () => flooding.script)
      rig = (await Rig.start(deployment({ routes: [currentRoute] }), ...scripts)).rig
      const before = memoryInUse()
      let peak = before
      const sampling = setInterval(() => { peak = Math.max(peak, memoryInUse()) }, SAMPLE_INTERVAL_MS)
      const startedAt = performance.now()
      const texts = await Promise.all(Array.from({ length: REQUESTS }, async (_, i) => await rig.request(POST, `x${i}`)))
      const ms = performance.now() - startedAt
      clearInterval(sampling)
      expect(texts.filter(text => !/^HTTP\/1.1 50[23] /.test(text))).toEqual([])
      expect(flooding.floods.length >= REQUESTS / 2).toEqual(true)
      expect(ms).toBeLessThan(RESPONSES_WITHIN_MS)
      expect(peak - before).toBeLessThan(MAX_GROWTH_BYTES)
    })
  }
})

describe('the body buffer', () => {
  // Guards against a body whose parts are lost or mixed up where they are collected in blocks.
  it('returns the body that was appended in chunks of any size', () => {
    const random = new SeededRandom(11)
    for (let round = 0; round < 20; round++) {
      const chunks = Array.from({ length: round * 20 }, (_, i) => {
        return Buffer.from(String.fromCharCode(97 + i % 26).repeat(Math.floor(random.next() * 40 * round)))
      })
      const body = new BodyBuffer()
      for (const chunk of chunks) body.append(chunk)
      expect(body.toBuffer().equals(Buffer.concat(chunks))).toEqual(true)
    }
  })
})

describe('the buffer budget', () => {
  // Guards against a sound response that is aborted because another server sends without end.
  it('aborts the largest response, not the one that grows last', () => {
    const aborted: string[] = []
    const budget = new BufferBudget()
    const owner = (name: string): BufferOwner => ({ onBufferExhausted: () => { aborted.push(name) } })
    const [small, large, larger] = [owner('small'), owner('large'), owner('larger')]
    budget.set(large, 1.5 * MEGABYTE)
    budget.set(larger, 2 * MEGABYTE)
    budget.set(small, MEGABYTE)
    expect(aborted).toEqual([])
    budget.set(small, 1.8 * MEGABYTE)
    expect(aborted).toEqual(['larger'])
    budget.set(small, 0)
    budget.set(small, 3.5 * MEGABYTE)
    expect(aborted).toEqual(['larger'])
  })
})

describe('the event splitter', () => {
  // Guards against a process that is busy for seconds with one long event in small chunks.
  it('splits a long event from small chunks in a time that grows with its length only', () => {
    const splitter = new EventSplitter(1 << 20)
    const piece = Buffer.from('x'.repeat(16))
    const startedAt = performance.now()
    let eventCount = 0
    for (let bytes = 0; bytes < 1_000_000; bytes += piece.length) eventCount += splitter.push(piece)!.length
    const events = splitter.push(Buffer.from('\n\nid: 2'))!
    expect(performance.now() - startedAt).toBeLessThan(MAX_SPLIT_MS)
    expect(eventCount).toEqual(0)
    expect(events.map(event => event.length)).toEqual([1_000_002])
  })

  // Guards against events that are lost, joined or changed where a chunk ends within one.
  it('splits the same events wherever chunks begin and end', () => {
    const random = new SeededRandom(11)
    const expected = Array.from({ length: 300 }, (_, i) => `id: ${i}\ndata: ${'x'.repeat(i % 40)}\n\n`)
    const stream = Buffer.from(expected.join('') + 'id: 300\nda')
    for (let round = 0; round < 50; round++) {
      const splitter = new EventSplitter(1 << 20)
      const events: string[] = []
      for (let at = 0; at < stream.length;) {
        const end = Math.min(stream.length, at + 1 + Math.floor(random.next() * (1 + round * 3)))
        events.push(...splitter.push(Buffer.from(stream.subarray(at, end)))!.map(event => event.toString()))
        at = end
      }
      expect(events).toEqual(expected)
    }
  })
})
