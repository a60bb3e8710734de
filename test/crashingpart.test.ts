import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RetrySafety } from '../src/routing/index.js'
import { deployment, Rig, route, type Script, type ScriptedServer } from './rig.js'

const SERVERS = 6

/** Time from a crash until the server's entry is removed, in milliseconds. */
const ENTRY_REMOVAL_MS = 30

/** Time after which a crash is recognised, in milliseconds. */
const REPORT_MS = 60

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
const STREAM = `${STREAM_HEAD}f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n`

describe('a prompt part that crashes each server that begins to write a response', () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  // Guards against requests that crash one server after the other, from the caller's headers to the final response.
  it('is refused as not run after three crashes, while requests with the other parts are served', async () => {
    let servers: ScriptedServer[] = []
    let crashes = 0
    const scripts = Array.from({ length: SERVERS }, (_, index): Script => (request, __, socket) => {
      if (!request.includes('bad:')) {
        socket.write(STREAM)
        return
      }
      crashes++
      socket.write(STREAM_HEAD, () => servers[index]!.close())
      setTimeout(() => rig.remove(index), ENTRY_REMOVAL_MS)
    })
    const streamRoute = route({ retrySafety: RetrySafety.stream, maxAttempts: 1 })
    const started = await Rig.start(deployment({ routes: [streamRoute] }), ...scripts)
    rig = started.rig
    servers = started.servers
    const send = async (parts: string, body: string): Promise<string> => {
      const text = await rig.request(['POST /a HTTP/1.1', 'x-usage: 30,50', `x-parts: ${parts}`], body)
      await new Promise(resolve => setTimeout(resolve, REPORT_MS))
      return text
    }
    const results: string[] = []
    for (let i = 0; i < 8; i++) {
      results.push(await send(`first:10,bad:10,own${i}:10`, `bad ${i}`))
      for (let j = 0; j < 4; j++) await send(`first:10,own${i}${j}:10`, `sound ${i} ${j}`)
    }
    expect(crashes).toEqual(3)
    expect(results.at(-1)!).toInclude('HTTP/1.1 503')
    expect(results.at(-1)!).toInclude('Retry-After: 120.00\r\n')
    expect(await send('first:10,own:10', 'sound')).toInclude('HTTP/1.1 200')
  })
})
