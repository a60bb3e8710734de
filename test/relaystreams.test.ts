import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { Flood } from './flood.js'
import { RelayRig } from './relayrig.js'
import { deployment, route, type Script } from './rig.js'
import { eventChunk, STREAM_END, STREAM_HEAD } from './streams.js'
import { waitFor } from './testhost.js'

const GET = ['GET /a HTTP/1.1', 'x-attempt: a1']
const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']

const ENDLESS_HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n'

/** Timeout of a route, in milliseconds. */
const TIMEOUT_MS = 1_500

/** Latest time after an event at which its effect is to be seen, in milliseconds. */
const PROMPT_MS = 500

/** Most bytes that a server may get rid of before its stream stops, with the system's socket buffers. */
const MAX_SENT_BYTES = 24 << 20

function streamDeployment (overrides: Parameters<typeof route>[0] = {}): ReturnType<typeof deployment> {
  return deployment({ routes: [route({ retrySafety: RetrySafety.stream, ...overrides })] })
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

describe('a response that another host relays', () => {
  let relayRig: RelayRig
  afterEach(async () => { await relayRig.close() })

  // Guards against: a relayed stream arrives in one piece, or with events lost.
  it('arrives event by event if it is a stream', async () => {
    let send = (_: string): void => undefined
    relayRig = await RelayRig.start(streamDeployment(), [(_, __, socket) => {
      send = text => { socket.write(text) }
      send(STREAM_HEAD + eventChunk(1))
    }])
    const caller = await relayRig.rig.connect()
    caller.send([...POST, 'Connection: close'], 'x')
    await caller.waitFor('id: 1')
    send(eventChunk(2))
    await caller.waitFor('id: 2')
    expect(caller.hasEnded).toEqual(false)
    send(eventChunk(3) + STREAM_END)
    expect((await caller.readToEnd()).endsWith(STREAM_END)).toEqual(true)
  })

  it('is continued by another server if it is a stream that may be resumed', async () => {
    const breakOrContinue: Script = (request, _, socket) => {
      if (request.includes('x-last-event: 1')) socket.write(STREAM_HEAD + eventChunk(2) + STREAM_END)
      else socket.write(STREAM_HEAD + eventChunk(1), () => setTimeout(() => socket.resetAndDestroy(), 50))
    }
    relayRig = await RelayRig.start(streamDeployment({ isResumable: true }), [
      breakOrContinue, breakOrContinue
    ])
    const text = await relayRig.rig.request(POST, 'x')
    expect([text.includes('id: 1'), text.includes('id: 2'), text.endsWith(STREAM_END)]).toEqual([true, true, true])
  })

  // Guards against: the relaying host or the connection to it buffers a stream that its caller does not read.
  it('is stopped at the server if its caller does not read', async () => {
    const floods: Flood[] = []
    const currentDeployment = streamDeployment({ timeoutMs: TIMEOUT_MS })
    relayRig = await RelayRig.start(currentDeployment, [(_, __, socket) => {
      floods.push(new Flood(socket, STREAM_HEAD, `384\r\n${'data: x\n\n'.repeat(100)}\r\n`))
    }])
    const caller = await relayRig.rig.connect()
    caller.socket.pause()
    caller.send(POST, 'x')
    await sleep(TIMEOUT_MS + PROMPT_MS)
    expect(floods.map(flood => [flood.wasClosed, flood.sentBytes <= MAX_SENT_BYTES])).toEqual([[true, true]])
    caller.socket.destroy()
  })

  // Guards against: bytes without end reach this host by way of another one.
  for (const maxAttempts of [1, 2]) {
    it(`is aborted if it is longer than permitted, at most ${maxAttempts} sends`, async () => {
      const floods: Flood[] = []
      relayRig = await RelayRig.start(deployment({ routes: [route({ maxAttempts })] }), [(_, __, socket) => {
        floods.push(new Flood(socket, ENDLESS_HEAD, `400\r\n${'x'.repeat(1_024)}\r\n`))
      }])
      const text = await relayRig.rig.request(GET)
      const answeredAt = performance.now()
      expect(text.startsWith('HTTP/1.1 502')).toEqual(true)
      await waitFor(() => floods.length === 1 && floods[0]!.wasClosed)
      expect(performance.now() - answeredAt <= PROMPT_MS).toEqual(true)
      expect(relayRig.hosts[0]!.service.activeRequestCount).toEqual(0)
    })
  }
})
