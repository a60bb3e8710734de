import { describe, it } from 'node:test'
import { MonotonicClock, SeededRandom } from '../src/base/index.js'
import { ConnectionPool, DirectTransport, probeConnection, Reachability } from '../src/forward/index.js'
import { RecordedLog } from './recordedlog.js'
import { ScriptedServer } from './scriptedserver.js'

/** What a server sends of its body, and the length of the whole, in bytes. */
const SENT = 'id: 1\ndata: x\n\n'
const WHOLE_BYTES = 2 * SENT.length

/** Fields that state, or seem to state, where the body ends. */
const FIELDS: ReadonlyArray<readonly string[]> = [
  [], ['Content-Length:'], ['Content-Length: '], [`Content-Length: ${WHOLE_BYTES}`], [`Content-Length: +${WHOLE_BYTES}`],
  ['Content-Length: -1'], ['Content-Length: 0x1e'], ['Content-Length: 1e1'], [`Content-Length: ${WHOLE_BYTES}, ${WHOLE_BYTES}`],
  [`Content-Length: ${WHOLE_BYTES}`, `Content-Length: ${WHOLE_BYTES}`],
  [`Content-Length: ${SENT.length}`, `Content-Length: ${WHOLE_BYTES}`], ['Content-Length: 99999999999999999999'],
  ['Transfer-Encoding:'], ['Transfer-Encoding: '], ['Transfer-Encoding: identity'], ['Transfer-Encoding: gzip'],
  ['Transfer-Encoding: chunked, gzip'], ['Transfer-Encoding: xchunked'], ['Transfer-Encoding: chunked;q=1'],
  ['Transfer-Encoding: chunkedx'], ['Transfer-Encoding: chunked', 'Transfer-Encoding: identity'],
  ['Transfer-Encoding: identity', `Content-Length: ${SENT.length}`], [`Content-Length: ${SENT.length}`, 'Transfer-Encoding: gzip'],
  ['Content-Type: text/plain', 'Upgrade: x', 'Connection: upgrade']
]

/** Versions of HTTP in the status line. */
const VERSIONS = ['HTTP/1.1', 'HTTP/1.0']

/** What ends the connection: the system, since the server's process is killed, or a reset. */
const WAYS = ['kill', 'reset'] as const

/** Time from the last bytes to the end of the connection, in milliseconds. */
const END_DELAYS_MS = [0, 5]

describe('a part of a body with odd framing', { timeout: 60_000 }, () => {
  const clock = new MonotonicClock()
  const reachability = new Reachability({
    clock, random: new SeededRandom(11), listAddresses: () => [], probe: probeConnection, onChange: () => undefined
  })
  const transport = new DirectTransport(new ConnectionPool(new RecordedLog().logger), reachability, 'x-attempt')

  /** @returns the body that was received, if the response counts as complete */
  function receive (address: string): Promise<string | undefined> {
    const server = {
      id: 's', born: 1, service: 's', address, dataCentre: 'd', version: 'v1', slots: 4, isDraining: false, coldMs: 0
    }
    const request = { method: 'GET', target: '/', headers: ['x-attempt', 'a1'], body: null, remainingMs: 5_000 }
    let body = ''
    return new Promise(resolve => {
      transport.send(server, request, {
        onSent: () => undefined,
        onReading: () => undefined,
        onHead: () => undefined,
        onBody: bytes => {
          body += bytes.toString('latin1')
          return true
        },
        onEnd: () => resolve(body),
        onFailure: () => resolve(undefined),
        onUnusable: () => resolve(undefined),
        onUnsendable: () => resolve(undefined)
      })
    })
  }

  for (const version of VERSIONS) {
    for (const way of WAYS) {
      // Guards against a part of a body that looks whole because of fields that do not say where it ends.
      it(`is not complete: ${version}, ${way}`, async () => {
        const wrong: string[] = []
        for (const fields of FIELDS) {
          for (const delayMs of END_DELAYS_MS) {
            const server = await ScriptedServer.start((_, __, socket) => {
              const end = (): void => {
                if (way === 'kill') server.close()
                else socket.resetAndDestroy()
              }
              socket.write([`${version} 200 OK`, 'x-attempt: a1', ...fields, '', SENT].join('\r\n'), () => {
                if (delayMs === 0) end()
                else setTimeout(end, delayMs)
              })
            })
            const body = await receive(server.address)
            server.close()
            const isStated = fields.includes(`Content-Length: ${SENT.length}`) && fields.length === 1
            if (body !== undefined && !isStated) wrong.push(`${fields.join(', ')}, after ${delayMs} ms: ${JSON.stringify(body)}`)
          }
        }
        if (wrong.length > 0) throw new Error(wrong.join('\n'))
      })
    }
  }
})
