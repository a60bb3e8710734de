import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { MonotonicClock, SeededRandom } from '../src/base/index.js'
import { ConnectionPool, DirectTransport, probeConnection, Reachability } from '../src/forward/index.js'
import { RecordedLog } from './recordedlog.js'
import { ScriptedServer } from './scriptedserver.js'

const HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nContent-Type: text/plain\r\n'
const BODY = '0123456789'

/** Whole responses, and the length from which a part of one is a whole response too. */
const RESPONSES: Readonly<Record<string, readonly [text: string, wholeFrom: number]>> = {
  length: [`${HEAD}Content-Length: 10\r\n\r\n${BODY}`, Infinity],
  'a length and the end of the connection': [`${HEAD}Connection: close\r\nContent-Length: 10\r\n\r\n${BODY}`, Infinity],
  chunks: [`${HEAD}Transfer-Encoding: chunked\r\n\r\na\r\n${BODY}\r\n0\r\n\r\n`, Infinity],
  'chunks and the end of the connection': [
    `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\na\r\n${BODY}\r\n0\r\n\r\n`, Infinity],
  'the end of the connection': [`${HEAD}\r\n${BODY}`, HEAD.length + 2],
  'an interim response and a length': [`HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n${HEAD}Content-Length: 10\r\n\r\n${BODY}`, Infinity]
}

describe('a response that is cut off after any byte', { timeout: 120_000 }, () => {
  let server: ScriptedServer
  afterEach(() => { server.close() })

  /** @returns whether the response counts as complete */
  function receive (address: string, transport: DirectTransport): Promise<boolean> {
    const backendServer = {
      id: 's', born: 1, service: 's', address, dataCentre: 'd', version: 'v1', slots: 4, isDraining: false, coldMs: 0
    }
    const request = { method: 'GET', target: '/', headers: ['x-attempt', 'a1'], body: null, remainingMs: 5_000 }
    return new Promise(resolve => {
      transport.send(backendServer, request, {
        onSent: () => undefined,
        onReading: () => undefined,
        onHead: () => undefined,
        onBody: () => true,
        onEnd: () => resolve(true),
        onFailure: () => resolve(false),
        onUnusable: () => resolve(false),
        onUnsendable: () => resolve(false)
      })
    })
  }

  for (const [name, [text, wholeFrom]] of Object.entries(RESPONSES)) {
    // Guards against a success with an empty or short body whose server stopped in its head or in its body.
    it(`is complete only if it is whole: ${name}`, async () => {
      let sentBytes = 0
      let isReset = false
      server = await ScriptedServer.start((_, __, socket) => {
        if (sentBytes > 0) socket.write(text.slice(0, sentBytes))
        setTimeout(() => isReset ? socket.resetAndDestroy() : socket.end(), 2)
      })
      const clock = new MonotonicClock()
      const pool = new ConnectionPool(new RecordedLog().logger)
      const reachability = new Reachability({
        clock,
        random: new SeededRandom(11),
        listAddresses: () => [server.address],
        probe: probeConnection,
        onChange: () => undefined
      })
      const transport = new DirectTransport(pool, reachability, 'x-attempt')
      const wrong: string[] = []
      for (sentBytes = 0; sentBytes <= text.length; sentBytes++) {
        for (isReset of [false, true]) {
          const isWhole = sentBytes === text.length || sentBytes >= wholeFrom
          const isComplete = await receive(server.address, transport)
          const mayEnd = isReset && wholeFrom !== Infinity ? false : isWhole
          if (isComplete !== mayEnd) wrong.push(`${sentBytes} bytes, ${isReset ? 'reset' : 'end'}: ${String(isComplete)}`)
        }
      }
      expect(wrong).toEqual([])
    })
  }
})
