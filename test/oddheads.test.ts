import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { MonotonicClock, SeededRandom } from '../src/base/index.js'
import { ConnectionPool, DirectTransport, probeConnection, Reachability } from '../src/forward/index.js'
import { ServiceClient } from '../src/service/index.js'
import { RecordedLog } from './recordedlog.js'
import { deployment, Rig } from './rig.js'
import { ROUTE_KINDS } from './routekinds.js'
import { ScriptedServer } from './scriptedserver.js'

const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']
const EVENT = 'id: 1\ndata: x\n\n'
const FIELDS = 'x-attempt: a1\r\nContent-Type: text/event-stream\r\n'

/** Time until a server closes the connection of a response that it does not continue, in milliseconds. */
const END_DELAY_MS = 5

/** What follows a status line. */
const RESTS: Readonly<Record<string, string>> = {
  'a length': `${FIELDS}Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`,
  chunks: `${FIELDS}Transfer-Encoding: chunked\r\n\r\nf\r\n${EVENT}\r\n0\r\n\r\n`,
  'the end of the connection': `${FIELDS}\r\n${EVENT}`,
  'another response': `\r\nHTTP/1.1 200 OK\r\n${FIELDS}Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`
}

/** Statuses that are none: HTTP has 100 to 599. */
const ODD_STATUSES = ['000', '001', '099', '0200', '-200', '+200', '2OO', '20', '2', '', ' 200', '600', '999', '1000', '200.0', '0x200']

describe('an odd status', { timeout: 120_000 }, () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  for (const [name, current] of Object.entries(ROUTE_KINDS)) {
    // Guards against an answer without a proper status that its caller gets as the answer to its request.
    it(`is no response on a route that is ${name}`, async () => {
      const wrong: string[] = []
      for (const status of ODD_STATUSES) {
        for (const [framing, rest] of Object.entries(RESTS)) {
          rig = new Rig()
          for (let index = 0; index < 2; index++) {
            await rig.addServer((_, __, socket) => {
              socket.write(`HTTP/1.1 ${status} Fine\r\n${rest}`)
              setTimeout(() => socket.end(), END_DELAY_MS)
            })
          }
          await rig.listen(deployment({ routes: [current] }))
          const text = await rig.request(POST, 'x')
          if (!text.startsWith('HTTP/1.1 502 ')) wrong.push(`${status}, ${framing}: ${JSON.stringify(text)}`)
          await rig.close()
        }
      }
      expect(wrong).toEqual([])
    })
  }
})

const UNKNOWN_ENCODINGS = ['gzip', 'chunked, gzip', 'gzip, chunked', 'xchunked', 'chunked;q=1', 'br']

/** @returns a response that ends as its transfer encoding says */
function encodedResponse (encoding: string): string {
  const body = encoding.endsWith(' chunked') ? `f\r\n${EVENT}\r\n0\r\n\r\n` : EVENT
  return `HTTP/1.1 200 OK\r\n${FIELDS}Transfer-Encoding: ${encoding}\r\n\r\n${body}`
}

describe('an odd response of a plain service of the older interface', { timeout: 30_000 }, () => {
  async function expectBroken (responses: readonly string[]): Promise<void> {
    const client = new ServiceClient(1 << 20)
    const wrong: string[] = []
    for (const response of responses) {
      const server = await ScriptedServer.start((_, __, socket) => {
        socket.write(response)
        setTimeout(() => socket.end(), END_DELAY_MS)
      })
      const call = { method: 'POST', path: '/a', headers: {}, body: Buffer.from('x'), timeoutMs: 2_000 }
      const result = await client.send(`http://${server.address}`, call)
      if (result.isOk() || result.error.code !== 'broken') wrong.push(response)
      server.close()
    }
    await client.close()
    expect(wrong).toEqual([])
  }

  // Guards against an answer without a proper status that is recorded, and can't be passed on.
  it('is no response if its status is odd', async () => {
    await expectBroken(ODD_STATUSES.flatMap(status => Object.values(RESTS).map(rest => `HTTP/1.1 ${status} Fine\r\n${rest}`)))
  })

  // Guards against a body that its caller gets in an encoding that no header states.
  it('is no response if its transfer encoding is unknown', async () => {
    await expectBroken(UNKNOWN_ENCODINGS.map(encodedResponse))
  })
})

describe('an unknown transfer encoding', { timeout: 30_000 }, () => {
  let rig: Rig
  afterEach(async () => { await rig.close() })

  // Guards against a body that its caller gets in an encoding that no header states any more.
  it('makes the response no response', async () => {
    const wrong: string[] = []
    for (const [name, current] of Object.entries(ROUTE_KINDS)) {
      for (const encoding of UNKNOWN_ENCODINGS) {
        rig = new Rig()
        for (let index = 0; index < 2; index++) {
          await rig.addServer((_, __, socket) => {
            socket.end(encodedResponse(encoding))
          })
        }
        await rig.listen(deployment({ routes: [current] }))
        const text = await rig.request(POST, 'x')
        if (!text.startsWith('HTTP/1.1 502 ')) wrong.push(`${name}, ${encoding}: ${JSON.stringify(text)}`)
        await rig.close()
      }
    }
    expect(wrong).toEqual([])
  })
})

/** Bytes that no field name may hold, by RFC 9110; the ends of lines and the colon split a line otherwise. */
const ODD_BYTES = [
  ...Array.from({ length: 33 }, (_, byte) => byte).filter(byte => byte !== 0x0a && byte !== 0x0d),
  0x0d, 0x7f, 0x80, 0xa0, 0xff, ...Buffer.from('"(),/;<=>?@[\\]{}')
]

/** Names of fields, each with a value that changes the body if the field is taken for a proper one. */
const NAMED_FIELDS: ReadonlyArray<readonly [name: string, value: string]> = [
  ['Content-Length', '3'], ['Transfer-Encoding', 'chunked'], ['Connection', 'close'], ['x-attempt', 'a1'], ['Other', 'b']
]

/** Where a byte stands in a name. */
const PLACES: Readonly<Record<string, (name: string, byte: string) => string>> = {
  first: (name, byte) => byte + name,
  inside: (name, byte) => name.slice(0, 3) + byte + name.slice(3),
  last: (name, byte) => name + byte,
  alone: (_, byte) => byte
}

/** Responses with an odd line, which is complete without it. */
const RESPONSES: Readonly<Record<string, (line: string) => string>> = {
  'before others': line => `HTTP/1.1 200 OK\r\n${line}\r\n${RESTS['a length']!}`,
  'after others': line => `HTTP/1.1 200 OK\r\n${FIELDS}Content-Length: 15\r\n${line}\r\n\r\n${EVENT}`,
  'with chunks': line => `HTTP/1.1 200 OK\r\n${line}\r\n${RESTS['chunks']!}`,
  'without a length': line => `HTTP/1.1 200 OK\r\n${line}\r\n${RESTS['the end of the connection']!}`,
  'after an interim response': line => `HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\nHTTP/1.1 200 OK\r\n${RESTS['a length']!}`,
  'in trailers': line => `HTTP/1.1 200 OK\r\n${FIELDS}Transfer-Encoding: chunked\r\n\r\nf\r\n${EVENT}\r\n0\r\n${line}\r\n\r\n`
}

describe('an odd field name', { timeout: 120_000 }, () => {
  let server: ScriptedServer
  let text = ''

  /** @returns the head and body of the response, if it counts as complete */
  function receive (transport: DirectTransport): Promise<string | undefined> {
    const backendServer = {
      id: 's',
      born: 1,
      service: 's',
      address: server.address,
      dataCentre: 'd',
      version: 'v1',
      slots: 4,
      isDraining: false,
      coldMs: 0
    }
    const request = { method: 'GET', target: '/', headers: ['x-attempt', 'a1'], body: null, remainingMs: 5_000 }
    let received = ''
    return new Promise(resolve => {
      const exchange = transport.send(backendServer, request, {
        onSent: () => undefined,
        onReading: () => undefined,
        onHead: (status, headers) => { received += `${status} ${headers.join('|')} ` },
        onBody: bytes => {
          received += bytes.toString('latin1')
          return true
        },
        onEnd: () => {
          exchange.release()
          resolve(received)
        },
        onFailure: () => resolve(undefined),
        onUnusable: () => resolve(undefined),
        onUnsendable: () => resolve(undefined)
      })
    })
  }

  for (const [where, respond] of Object.entries(RESPONSES)) {
    // Guards against a response with a line that is no field, which is passed on, or changes which bytes are the body.
    it(`makes the response no response: ${where}`, async () => {
      server = await ScriptedServer.start((_, __, socket) => {
        socket.write(Buffer.from(text, 'latin1'))
        setTimeout(() => socket.end(), END_DELAY_MS)
      })
      const clock = new MonotonicClock()
      const pool = new ConnectionPool(new RecordedLog().logger)
      const reachability = new Reachability({
        clock, random: new SeededRandom(11), listAddresses: () => [], probe: probeConnection, onChange: () => undefined
      })
      const transport = new DirectTransport(pool, reachability, 'x-attempt')
      text = respond('Other: b')
      expect((await receive(transport))?.endsWith(EVENT)).toEqual(true)
      const wrong: string[] = []
      for (const byte of ODD_BYTES) {
        for (const [name, value] of NAMED_FIELDS) {
          for (const [place, insert] of Object.entries(PLACES)) {
            text = respond(`${insert(name, String.fromCharCode(byte))}: ${value}`)
            const received = await receive(transport)
            if (received !== undefined) wrong.push(`byte ${byte}, ${name}, ${place}: ${JSON.stringify(received)}`)
          }
        }
      }
      server.close()
      if (wrong.length > 0) throw new Error(`${wrong.length} cases\n${wrong.join('\n')}`)
    })
  }
})
