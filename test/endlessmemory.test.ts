import { spawn } from 'node:child_process'
import { before, describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '../src/base/index.js'
import { EventSplitter } from '../src/engine/index.js'
import { BodyBuffer } from '../src/forward/bodybuffer.js'
import { BufferBudget, type BufferOwner } from '../src/forward/index.js'
import type { FloodResult } from './floodprocess.js'
import { deployedOptions } from './hostprocess.js'

const MEGABYTE = 1 << 20

/** Share of the buffer budget for large parts. */
const LARGE_SHARE = 0.75

/** Most memory that all responses in progress may use in a process that has 200 MB, of which it needs half idle. */
const MAX_GROWTH_BYTES = 64 << 20

/** Latest time of the final responses to all requests, in milliseconds; before their deadline. */
const RESPONSES_WITHIN_MS = 5_000

/** Time after which the test of all responses fails, in milliseconds. */
const TEST_TIMEOUT_MS = 150_000

/** Longest time in which an event of the greatest size is split from small chunks, in milliseconds. */
const MAX_SPLIT_MS = 1_000

const CASES = [
  'header lines without a value',
  'header lines',
  'one header value',
  'a body without a length',
  'a body in large chunks',
  'a body in chunks of one byte',
  'the body of a failure',
  'trailers',
  'one event',
  'one event in chunks of one byte'
]

/** Runs all cases in a process with the heap limits of the deployed program. */
async function runFloods (): Promise<FloodResult[]> {
  const child = spawn(process.execPath, [...deployedOptions(), '--import', 'tsx', 'test/floodprocess.ts'])
  let output = ''
  child.stdout.on('data', bytes => { output += String(bytes) })
  child.stderr.pipe(process.stderr)
  const exitCode = await new Promise(resolve => child.once('close', resolve))
  expect(exitCode).toEqual(0)
  return output.trim().split('\n').map(line => JSON.parse(line) as FloodResult)
}

describe('a hundred responses without end at once', () => {
  let results: FloodResult[] = []
  before(async () => { results = await runFloods() }, { timeout: TEST_TIMEOUT_MS })

  for (const name of CASES) {
    // Guards against the end of the process because the responses together need more memory than a host has.
    it(`need a bounded amount of memory: ${name}`, () => {
      const result = results.find(each => each.name === name)!
      expect(result.unexpected).toEqual([])
      expect(result.floodsPerRequest >= 0.5).toEqual(true)
      expect(result.ms).toBeLessThan(RESPONSES_WITHIN_MS)
      expect(result.growthBytes).toBeLessThan(MAX_GROWTH_BYTES)
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
    const budget = new BufferBudget(5 * MEGABYTE / LARGE_SHARE)
    const owner = (name: string): BufferOwner => ({ yieldWeight: 1, onBufferExhausted: () => { aborted.push(name) } })
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
