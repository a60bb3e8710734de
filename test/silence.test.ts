import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { createScheduler, job, server } from './jobs.js'
import { deployment, respond, Rig, route, type Script } from './rig.js'
import { eventChunk, STREAM_END, STREAM_HEAD } from './streams.js'

/** Longer than the silence after which a request may be sent to another server, in milliseconds. */
const SILENCE_MS = 1_500

const GET = ['GET /a HTTP/1.1', 'x-attempt: a1']
const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']

function statusOf (text: string): number {
  return Number(text.split(' ')[1])
}

/** Sends the first event, then nothing for a while, then the rest of the stream. */
const pauseStream: Script = (_, __, socket) => {
  socket.write(STREAM_HEAD + eventChunk(1))
  setTimeout(() => socket.write(eventChunk(2) + STREAM_END), SILENCE_MS)
}

describe('a stream that another server continues', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  // Guards against: the caller waited for its deadline after the second server had responded with status 404.
  it('is cut off at once if that server responds without a stream', async () => {
    let isFirst = true
    const breakThenDecline: Script = (_, __, socket) => {
      if (!isFirst) respond(socket, '404 Not Found', 'gone', ['x-attempt: a1'])
      else {
        socket.write(STREAM_HEAD + eventChunk(1), () => setTimeout(() => socket.resetAndDestroy(), 50))
      }
      isFirst = false
    }
    const route_ = route({ retrySafety: RetrySafety.stream, isResumable: true })
    rig = (await Rig.start(deployment({ routes: [route_] }), breakThenDecline, breakThenDecline)).rig
    const sentAt = performance.now()
    expect((await rig.request(POST, 'x')).endsWith(STREAM_END)).toEqual(false)
    expect(performance.now() - sentAt < 2_000).toEqual(true)
  })

  // Guards against: a stream was cut off because no slot was free at the moment when its server broke.
  it('waits for a slot until one is free', async () => {
    const breakFirst: Script = (_, __, socket) => {
      socket.write(STREAM_HEAD + eventChunk(1), () => setTimeout(() => socket.resetAndDestroy(), 50))
    }
    const goOn: Script = (_, __, socket) => {
      socket.write(STREAM_HEAD + eventChunk(2) + STREAM_END)
    }
    // The queue timeout of the request is a quarter of this timeout; it has passed when the second server is listed.
    const route_ = route({ retrySafety: RetrySafety.stream, isResumable: true, timeoutMs: 3_000 })
    rig = (await Rig.start(deployment({ routes: [route_] }), breakFirst)).rig
    const response = rig.request(POST, 'x')
    await new Promise(resolve => { setTimeout(resolve, 1_500) })
    await rig.addServer(goOn)
    const text = await response
    expect(text).toInclude('id: 2')
    expect(text.endsWith(STREAM_END)).toEqual(true)
  })
})

describe('a sound server that is silent for a while', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  // Guards against: a stream that only its silent server could finish was cut off midway.
  it('finishes a stream that may not be sent to another server', async () => {
    const route_ = route({ retrySafety: RetrySafety.stream })
    rig = (await Rig.start(deployment({ routes: [route_] }), pauseStream, pauseStream)).rig
    const text = await rig.request(POST, 'x')
    expect(text).toInclude('id: 2')
    expect(text.endsWith(STREAM_END)).toEqual(true)
  })

  // Guards against: a resumable stream was closed midway when no slot at another server was granted.
  it('finishes a resumable stream if no other server is available', async () => {
    const route_ = route({ retrySafety: RetrySafety.stream, isResumable: true })
    rig = (await Rig.start(deployment({ routes: [route_] }), pauseStream)).rig
    const text = await rig.request(POST, 'x')
    expect(text).toInclude('id: 2')
    expect(text.endsWith(STREAM_END)).toEqual(true)
  })

  // Guards against: the caller got 502 for a call that its silent server completed later.
  it('answers a call that may not be repeated', async () => {
    const respondLate: Script = (_, __, socket) => {
      setTimeout(() => respond(socket, '200 OK', 'filed', ['x-attempt: a1']), SILENCE_MS)
    }
    const route_ = route({ retrySafety: RetrySafety.unsafe })
    const started = await Rig.start(deployment({ routes: [route_] }), respondLate, respondLate)
    rig = started.rig
    expect(statusOf(await rig.request(POST, 'x'))).toEqual(200)
    expect(started.servers.map(({ requests }) => requests.length).reduce((a, b) => a + b)).toEqual(1)
  })
})

describe('a server that stays silent', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  it('is left for another server if the request may be repeated', async () => {
    let isFirst = true
    const respondIfSecond: Script = (_, __, socket) => {
      if (!isFirst) respond(socket, '200 OK', 'fine', ['x-attempt: a1'])
      isFirst = false
    }
    rig = (await Rig.start(deployment(), respondIfSecond, respondIfSecond)).rig
    expect(statusOf(await rig.request(GET))).toEqual(200)
  })

  // Guards against: an abandoned send was not counted, so a request went to more servers than its route allows.
  it('counts against the number of servers that the route allows', async () => {
    const route_ = route({ maxAttempts: 2, timeoutMs: 3_500 })
    const respondNever: Script = () => undefined
    const started = await Rig.start(deployment({ routes: [route_] }), respondNever, respondNever, respondNever)
    rig = started.rig
    expect(statusOf(await rig.request(GET))).toEqual(504)
    expect(started.servers.flatMap(({ requests }) => requests).length).toEqual(2)
  })

  // Guards against: a caller waits for the route's timeout though its server is gone.
  it('is given up once it is no longer listed', async () => {
    const route_ = route({ retrySafety: RetrySafety.unsafe, timeoutMs: 10_000 })
    const respondNever: Script = () => rig.fleet.apply({ id: 'server-0', revision: 2, server: undefined }, performance.now())
    rig = (await Rig.start(deployment({ routes: [route_] }), respondNever)).rig
    const sentAt = performance.now()
    expect(statusOf(await rig.request(POST, 'x'))).toEqual(502)
    expect(performance.now() - sentAt < 4_000).toEqual(true)
  })

  // Guards against: a server that is silent for jobs which may not be sent again gets one job after the other.
  it('gets no further jobs at once', () => {
    const scheduler = createScheduler(server('a', { slots: 4 }), server('b', { slots: 4 }))
    const [grant] = scheduler.submit(job('1'), 0)
    const silentServer = grant?.kind === 'grant' ? grant.server : ''
    scheduler.loads.get(silentServer)?.recordSilence('1', 1_200)
    const effects = ['2', '3', '4'].flatMap(id => scheduler.submit(job(id, { arrivedAt: 1_200 }), 1_200))
    expect(effects.every(effect => effect.kind === 'grant' && effect.server !== silentServer)).toEqual(true)
  })
})
