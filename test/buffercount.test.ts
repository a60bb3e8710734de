import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { deployment, respond, Rig, type Script } from './rig.js'

/** Time in which heads that are not complete are counted, in milliseconds. */
const COUNT_MS = 300

/** Length of the bodies of requests and responses, in bytes. */
const BODY_BYTES = 200_000

describe('the memory that is counted for requests and responses', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  async function start (script: Script): Promise<void> {
    rig = (await Rig.start(deployment(), script)).rig
  }

  function countedBytes (): unknown {
    return rig.bufferBudget.dump()['bytes']
  }

  // Guards against a budget that is used up by what was released long ago, so that proper requests are refused.
  it('is none once all are complete, though connections stay open', async () => {
    await start((_, __, socket) => respond(socket, '200 OK', 'y'.repeat(BODY_BYTES), ['x-attempt: a1']))
    const caller = await rig.connect()
    for (let i = 1; i <= 3; i++) {
      caller.send(['POST /a HTTP/1.1', 'x-attempt: a1'], 'x'.repeat(BODY_BYTES))
      while (caller.text.length < i * BODY_BYTES) await new Promise(resolve => setTimeout(resolve, 10))
    }
    await new Promise(resolve => setTimeout(resolve, COUNT_MS))
    expect(countedBytes()).toEqual(0)
    caller.socket.destroy()
  })

  // Guards against bytes of heads, bodies or requests that nobody counts.
  it('grows with a body, a head and a request that are not complete', async () => {
    await start(() => undefined)
    const [head, body, request] = [await rig.connect(), await rig.connect(), await rig.connect()]
    head.socket.write(`GET /a HTTP/1.1\r\nx-a: ${'b'.repeat(8_000)}`)
    body.socket.write(`POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 200000\r\n\r\n${'x'.repeat(100_000)}`)
    request.send(['POST /a HTTP/1.1', 'x-attempt: a1'], 'x'.repeat(BODY_BYTES))
    await new Promise(resolve => setTimeout(resolve, COUNT_MS))
    expect(countedBytes() as number).toBeGreaterThan(2 * 8_000 + 100_000 + BODY_BYTES)
    for (const { socket } of [head, body, request]) socket.destroy()
    await new Promise(resolve => setTimeout(resolve, COUNT_MS))
    expect(countedBytes()).toEqual(0)
  })
})
