import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { bodyOf } from './rawcaller.js'
import { deployment, Rig, route, type Script } from './rig.js'

const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']
const HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\n'

describe('a stream with neither a length nor chunks', { timeout: 60_000 }, () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })
  const currentDeployment = deployment({ routes: [route({ retrySafety: RetrySafety.stream })] })
  const resumableDeployment = deployment({ routes: [route({ retrySafety: RetrySafety.stream, isResumable: true })] })
  const event = (id: number): string => `id: ${id}\ndata: x\n\n`

  // Guards against a complete stream that looks broken off because nothing but its connection's end marks its end.
  it('is complete when its connection ends after an event', async () => {
    const started = await Rig.start(currentDeployment, (_, __, socket) => {
      socket.end(`${HEAD}\r\n${event(1)}${event(2)}`)
    })
    rig = started.rig
    const text = await rig.request(POST, 'x')
    expect(bodyOf(text)).toEqual({ body: event(1) + event(2), isComplete: true })
    expect(rig.log.find('answered').map(record => record['end'])).toEqual(['connection'])
  })

  // Guards against a stream that broke off within an event and looks complete to the caller.
  it('is cut off without the last chunk when its connection ends within an event', async () => {
    const started = await Rig.start(currentDeployment, (_, __, socket) => {
      socket.end(`${HEAD}\r\n${event(1)}id: 2\nda`)
    })
    rig = started.rig
    const caller = await rig.connect()
    caller.send([...POST, 'Connection: close'], 'x')
    expect(bodyOf(await caller.readToEnd())).toEqual({ body: event(1), isComplete: false })
    expect(rig.log.find('lost').map(record => record['outcome'])).toEqual(['broken'])
  })

  // Guards against a gap or a repeated event where another server continues such a stream.
  it('is continued by another server when its connection ends within an event', async () => {
    const breakOff: Script = (_, __, socket) => { socket.end(`${HEAD}\r\n${event(1)}id: 2\nda`) }
    const resume: Script = (request, __, socket) => {
      const lastEventId = Number(/x-last-event: (\d+)/.exec(request)?.[1] ?? 0)
      socket.end(`${HEAD}\r\n${[1, 2, 3].filter(id => id > lastEventId).map(event).join('')}`)
    }
    const started = await Rig.start(resumableDeployment, breakOff, resume)
    rig = started.rig
    while (started.servers[0]!.requests.length === 0) {
      const text = await rig.request(POST, 'x')
      expect(bodyOf(text)).toEqual({ body: event(1) + event(2) + event(3), isComplete: true })
    }
  })
})
