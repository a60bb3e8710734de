import { FloodingScript } from './flood.js'
import { deployment, Rig, route } from './rig.js'
import { RetrySafety, type Route } from '../src/routing/index.js'

/**
 * Sends a hundred requests at a time to servers that respond without end, and writes the {@link FloodResult} of each
 * case as a line of JSON. A process of its own, since the memory in use depends on the heap limits that a process is
 * started with.
 */

const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']
const HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\n'
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`

/** Requests in flight at once, four at each server. */
const REQUESTS = 100
const SERVERS = 25

/** Interval at which the memory in use is sampled, in milliseconds. */
const SAMPLE_INTERVAL_MS = 5

/** What the responses of one case did. */
export interface FloodResult {
  readonly name: string
  /** Responses to callers that are neither 502 nor 503. */
  readonly unexpected: readonly string[]
  /** Share of the requests that reached a server, counting repeats. */
  readonly floodsPerRequest: number
  /** Time until all callers had their final response, in milliseconds. */
  readonly ms: number
  /** Most memory in use, less that at the start; in bytes. */
  readonly growthBytes: number
}

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

async function runCase ([name, currentRoute, start, unit]: typeof CASES[number]): Promise<FloodResult> {
  const flooding = new FloodingScript(start, unit)
  const scripts = Array.from({ length: SERVERS }, () => flooding.script)
  const { rig } = await Rig.start(deployment({ routes: [currentRoute] }), ...scripts)
  const before = memoryInUse()
  let peak = before
  const sampling = setInterval(() => { peak = Math.max(peak, memoryInUse()) }, SAMPLE_INTERVAL_MS)
  const startedAt = performance.now()
  const texts = await Promise.all(Array.from({ length: REQUESTS }, async (_, i) => await rig.request(POST, `x${i}`)))
  const ms = performance.now() - startedAt
  clearInterval(sampling)
  await rig.close()
  const unexpected = texts.filter(text => !/^HTTP\/1.1 50[23] /.test(text))
  return { name, unexpected, floodsPerRequest: flooding.floods.length / REQUESTS, ms, growthBytes: peak - before }
}

for (const each of CASES) process.stdout.write(`${JSON.stringify(await runCase(each))}\n`)
