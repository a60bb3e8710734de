import { afterEach, describe, it } from 'node:test'
import type { Socket } from 'node:net'
import { expect } from 'earl'
import { answerHeaders, HostFleet, sleep } from './hostfleet.js'
import { waitFor } from './hostprocess.js'
import { bodyOf, sendRaw } from './rawcaller.js'
import { RelayRig } from './relayrig.js'
import { deployment, Rig } from './rig.js'
import { ROUTE_KINDS } from './routekinds.js'
import { hasHead, respond, type Script } from './scriptedserver.js'

/** First port of the host under test. */
const FIRST_PORT = 31_600

/** Number of servers of the host process, so that some are usable while others are avoided after their faults. */
const SERVERS = 24

/** Requests of each kind to the host under test. */
const REPEATS = 6

/** Time between the head of a response and its body, so that they arrive apart; in milliseconds. */
const PAUSE_MS = 20

/** A body that does not fit into the buffers of a connection whose server does not read. */
const UPLOAD = 'x'.repeat(6 << 20)
const MAX_BODY_BYTES = 8 << 20

const FIRST_EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'
const ALL_EVENTS = `${FIRST_EVENTS}id: 3\ndata: x\n\n`

/** How the caller sends a body. */
const UPLOADS = { none: '', short: 'x', long: UPLOAD } as const
type Upload = keyof typeof UPLOADS

/** What ends the connection: the server resets it, or closes it with the body of the request unread. */
const WAYS = ['reset', 'unread'] as const
type Way = typeof WAYS[number]

/** Whether the first part of the body follows its head at once. */
const PACES = ['at once', 'apart'] as const
type Pace = typeof PACES[number]

function deploymentOf (name: keyof typeof ROUTE_KINDS): ReturnType<typeof deployment> {
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: MAX_BODY_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 }
  return deployment({ routes: [ROUTE_KINDS[name]], limits })
}

/** @returns the head of a response without a length */
function headOf (request: string): string {
  const [, id = ''] = /(?:x-attempt|attempt-id): (\w+)/i.exec(request) ?? []
  return `HTTP/1.1 200 OK\r\nx-attempt: ${id}\r\nAttempt-Id: ${id}\r\nResponse-Signature: s\r\n` +
    'Content-Type: text/event-stream\r\n\r\n'
}

/** Sends the begin of a response without a length, and ends the connection in the same turn. */
async function breakOff (request: string, socket: Socket, way: Way, pace: Pace): Promise<void> {
  if (pace === 'apart') {
    socket.write(headOf(request))
    await sleep(PAUSE_MS)
    socket.write(FIRST_EVENTS)
  } else socket.write(headOf(request) + FIRST_EVENTS)
  if (way === 'reset') socket.resetAndDestroy()
  else socket.destroy()
}

/** @returns a server that reads no more than the head of a request, and breaks off its response */
function breakingOff (way: Way, pace: Pace): Script {
  return (request, _, socket) => {
    socket.pause()
    void breakOff(request, socket, way, pace)
  }
}

/** Sends a request on a connection of its own, and returns what was received until it ended. */
async function post (rig: Rig, upload: Upload): Promise<string> {
  return await rig.request(['POST /a HTTP/1.1', 'x-attempt: a1'], UPLOADS[upload])
}

function looksWhole (text: string): boolean {
  return text.startsWith('HTTP/1.1 200') && bodyOf(text).isComplete
}

describe('a response without a length whose server resets the connection', { timeout: 120_000 }, () => {
  let close = async (): Promise<unknown> => undefined
  afterEach(async () => { await close() })

  for (const name of Object.keys(ROUTE_KINDS) as Array<keyof typeof ROUTE_KINDS>) {
    // Guards against half of a response, or a stream without its last events, that looks complete to its caller.
    it(`does not look complete on a route that is ${name}`, async () => {
      const wrong: string[] = []
      for (const upload of Object.keys(UPLOADS) as Upload[]) {
        for (const way of WAYS) {
          if (way === 'unread' && upload !== 'long') continue
          for (const pace of PACES) {
            const rig = new Rig()
            close = () => rig.close()
            for (let index = 0; index < 2; index++) await rig.addServer(breakingOff(way, pace), hasHead)
            await rig.listen(deploymentOf(name))
            const text = await post(rig, upload)
            if (looksWhole(text)) wrong.push(`upload ${upload}, ${way}, ${pace}: ${JSON.stringify(text)}`)
            await rig.close()
          }
        }
      }
      expect(wrong).toEqual([])
    })
  }

  // Guards against half of a response that looks complete since another host relayed it.
  it('does not look complete if another host relays it', async () => {
    const wrong: string[] = []
    for (const name of Object.keys(ROUTE_KINDS) as Array<keyof typeof ROUTE_KINDS>) {
      for (const upload of ['short', 'long'] as const) {
        const script = breakingOff('reset', 'apart')
        const relayRig = await RelayRig.start(deploymentOf(name), [script, script], 1, () => undefined, hasHead)
        close = () => relayRig.close()
        const text = await post(relayRig.rig, upload)
        if (looksWhole(text)) wrong.push(`${name}, upload ${upload}: ${JSON.stringify(text)}`)
        await relayRig.close()
      }
    }
    expect(wrong).toEqual([])
  })

  // Guards against half of a response that looks complete where the server is a process of its own, as deployed.
  it('does not look complete at a host process', async () => {
    let way: Way = 'reset'
    let pace: Pace = 'apart'
    const fleet = await HostFleet.start(1, FIRST_PORT, (request, _, socket) => {
      if (request.startsWith('GET /warm/')) {
        respond(socket, '200 OK', 'ok', answerHeaders(request))
        return
      }
      socket.pause()
      void breakOff(request, socket, way, pace)
    }, [], { serverCount: SERVERS, maxBodyBytes: MAX_BODY_BYTES, isRequest: hasHead })
    close = () => fleet.close()
    fleet.putConfig(2, [
      { prefix: '/warm/', kind: 'safe' },
      { prefix: '/unsafe/', kind: 'unsafe' },
      { prefix: '/safe/', kind: 'safe' },
      { prefix: '/stream/', kind: 'streaming', isResumable: false },
      { prefix: '/resumable/', kind: 'streaming' }
    ])
    await waitFor(async () => (await fleet.callAll('/warm/', 1, 1)).flat().every(status => status === 200))
    const wrong: string[] = []
    let lastAttempt = 0
    for (way of WAYS) {
      for (pace of PACES) {
        for (const name of Object.keys(ROUTE_KINDS)) {
          for (let count = 0; count < REPEATS; count++) {
            const attemptId = `r${++lastAttempt}`
            const received = await sendRaw(fleet.hosts[0]!.callerAddress, {
              target: `/${name}/1`, attemptId, body: { text: UPLOAD, untilLast: Promise.resolve() }
            })
            if (received.isComplete && received.text.startsWith('HTTP/1.1 200')) wrong.push(`${name}, ${way}, ${pace}`)
          }
        }
      }
    }
    expect(wrong).toEqual([])
  })

  // Guards against a complete response that is dropped because its server closes before it has read a long body.
  it('is complete if the connection had ended before', async () => {
    const wrong: string[] = []
    for (const name of Object.keys(ROUTE_KINDS) as Array<keyof typeof ROUTE_KINDS>) {
      for (const upload of Object.keys(UPLOADS) as Upload[]) {
        for (const delayMs of [0, PAUSE_MS]) {
          const rig = new Rig()
          close = () => rig.close()
          await rig.addServer((request, _, socket) => {
            socket.pause()
            socket.once('finish', () => setTimeout(() => socket.resetAndDestroy(), delayMs))
            socket.end(headOf(request) + ALL_EVENTS)
          }, hasHead)
          await rig.listen(deploymentOf(name))
          const text = await post(rig, upload)
          if (!looksWhole(text) || bodyOf(text).body !== ALL_EVENTS) {
            wrong.push(`${name}, upload ${upload}, reset after ${delayMs} ms: ${JSON.stringify(text)}`)
          }
          await rig.close()
        }
      }
    }
    expect(wrong).toEqual([])
  })

  // Guards against a complete response that is dropped because its connection is reset during the upload.
  it('is complete if its framing says so', async () => {
    const chunks = `${ALL_EVENTS.length.toString(16)}\r\n${ALL_EVENTS}\r\n0\r\n\r\n`
    const bodies = [`Content-Length: ${ALL_EVENTS.length}\r\n\r\n${ALL_EVENTS}`, `Transfer-Encoding: chunked\r\n\r\n${chunks}`]
    const wrong: string[] = []
    for (const name of Object.keys(ROUTE_KINDS) as Array<keyof typeof ROUTE_KINDS>) {
      for (const upload of Object.keys(UPLOADS) as Upload[]) {
        for (const body of bodies) {
          const rig = new Rig()
          close = () => rig.close()
          await rig.addServer((request, _, socket) => {
            socket.pause()
            socket.write(headOf(request).slice(0, -2) + body)
            socket.resetAndDestroy()
          }, hasHead)
          await rig.listen(deploymentOf(name))
          const text = await post(rig, upload)
          if (!looksWhole(text) || bodyOf(text).body !== ALL_EVENTS) wrong.push(`${name}, upload ${upload}, ${body.slice(0, 18)}`)
          await rig.close()
        }
      }
    }
    expect(wrong).toEqual([])
  })
})
