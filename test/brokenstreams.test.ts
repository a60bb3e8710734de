import { connect } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answer, HostFleet, sleep } from './hostfleet.js'
import type { Script } from './scriptedserver.js'

/** First port of the host under test. */
const FIRST_PORT = 30_300

/** Time in which a change of a row takes effect, in milliseconds. */
const APPLY_MS = 1_500

/** Time after which a server that had a fault is asked again, in milliseconds. */
const FAULT_PAUSE_MS = 500

const EVENTS = ['id: 1\ndata: x\n\n', 'id: 2\ndata: x\n\n', 'id: 3\ndata: x\n\n']
const STREAM_END = '0\r\n\r\n'

/** Text that the callers may not find in their streams. */
const ERROR_TEXT = 'no room here'

function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

function attemptIdOf (request: string): string {
  return /attempt-id: (\w+)/i.exec(request)?.[1] ?? ''
}

function head (request: string, status: string, headers: readonly string[] = []): string {
  const fields = [`Attempt-Id: ${attemptIdOf(request)}`, 'Response-Signature: s', ...headers]
  return `HTTP/1.1 ${status}\r\n${fields.join('\r\n')}\r\n\r\n`
}

const EVENT_STREAM = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']

/** Sends two events and a part of the third, and breaks off. */
const breakOff: Script = (request, _, socket) => {
  socket.write(head(request, '200 OK', EVENT_STREAM) + chunk(EVENTS[0]!) + chunk(`${EVENTS[1]!}id: 3\nda`))
  setTimeout(() => socket.destroy(), 50)
}

function respondWith (status: string, headers: readonly string[] = [], body = ERROR_TEXT): Script {
  return (request, _, socket) => {
    socket.write(head(request, status, [`Content-Length: ${body.length}`, ...headers]) + body)
  }
}

/** Responses of the server that is to continue the stream. */
const ERRORS: Readonly<Record<string, Script>> = {
  'a failure': respondWith('500 Internal Server Error'),
  'a failure that ends its connection': respondWith('502 Bad Gateway', ['Connection: close']),
  'a rejection': respondWith('503 Service Unavailable', ['Not-Executed: 1', 'Retry-After: 0.2']),
  'a refusal for its quota': respondWith('429 Too Many Requests', ['Not-Executed: 1']),
  'a misdirection': respondWith('421 Misdirected Request'),
  'a client error': respondWith('404 Not Found'),
  'a redirection': respondWith('302 Found', ['Location: /']),
  'a success that is no stream of events': respondWith('200 OK', ['Content-Type: text/plain'], `${ERROR_TEXT}\n\n`),
  'a failure in chunks': (request, _, socket) => {
    socket.write(head(request, '500 Internal Server Error', EVENT_STREAM) + chunk(`data: ${ERROR_TEXT}\n\n`) + STREAM_END)
  },
  'a whole head in its stream': (request, _, socket) => {
    socket.write(head(request, '200 OK', EVENT_STREAM) + chunk(head(request, '500 Internal Server Error') + ERROR_TEXT))
    socket.end()
  },
  'bytes that are no response': (_, __, socket) => { socket.end(`${ERROR_TEXT}\n\n`) },
  'no response': (_, __, socket) => { socket.destroy() }
}

describe('a stream that broke off, whose next server responds with an error', () => {
  let fleet: HostFleet
  afterEach(() => fleet.close())

  /** Starts a host and sends requests of another route, as many as permit the retries of the test. */
  async function start (firstPort: number, script: Script): Promise<void> {
    fleet = await HostFleet.start(1, firstPort, (request, index, socket) => {
      if (request.startsWith('GET /safe/')) answer(request, index, socket)
      else script(request, index, socket)
    }, ['streaming', 'safe'])
    await fleet.callAll('/safe/', 100, 5)
  }

  /** @returns all that a caller receives until its connection ends */
  async function receive (): Promise<string> {
    const [ip, port] = fleet.hosts[0]!.callerAddress.split(':')
    const socket = connect(Number(port), ip)
    socket.write('GET /streaming/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 1500\r\n\r\n')
    let text = ''
    socket.on('data', bytes => { text += bytes.toString('latin1') })
    socket.on('error', () => undefined)
    await new Promise(resolve => socket.once('close', resolve))
    return text
  }

  // Guards against an error's text or head in the middle of a stream, and a stream that looks complete but is not.
  it('is cut off after the events that arrived', async () => {
    let error: Script = breakOff
    let attempts = 0
    await start(FIRST_PORT, (request, index, socket) => {
      const respond = attempts++ % 2 === 0 ? breakOff : error
      respond(request, index, socket)
    })
    const received: Record<string, string> = {}
    for (const [name, script] of Object.entries(ERRORS)) {
      error = script
      const text = await receive()
      received[name] = text.slice(text.indexOf('\r\n\r\n') + 4)
      // Servers that had a fault are asked again after a while.
      await sleep(FAULT_PAUSE_MS)
    }
    expect(attempts).toEqual(2 * Object.keys(ERRORS).length)
    const expected = chunk(EVENTS[0]!) + chunk(EVENTS[1]!)
    const wrong = Object.entries(received).filter(([, body]) => body !== expected)
    expect(wrong.map(entry => JSON.stringify(entry)).join('\n')).toEqual('')
  })

  // Guards against the end of the host's process: a response of the host itself was written into the stream.
  it('is cut off too if the request can not be sent to the next server', async () => {
    let wasBroken = false
    await start(FIRST_PORT + 10, (request, index, socket) => {
      if (wasBroken) return
      wasBroken = true
      // No header can hold this key.
      for (let i = 0; i < fleet.servers.length; i++) fleet.store.put('servers', `i-${i}`, undefined)
      const { address } = fleet.servers[0]!
      fleet.store.put('servers', 'i\n0', { service: 's', address, zone: 'z', version: 'v1', slots: 8, state: 'ready', born: 1 })
      socket.write(head(request, '200 OK', EVENT_STREAM) + chunk(EVENTS[0]!))
      setTimeout(() => socket.destroy(), APPLY_MS / 2)
    })
    const text = await receive()
    await sleep(FAULT_PAUSE_MS)
    expect(text.endsWith(`\r\n\r\n${chunk(EVENTS[0]!)}`)).toEqual(true)
    expect(fleet.hosts[0]!.process.exitCode).toEqual(null)
  })
})
