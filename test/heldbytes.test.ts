import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { SystemRandom } from '../src/base/index.js'
import { ConnectionPool, DirectTransport, type Exchange, probeConnection, Reachability, type ResponseHandler } from '../src/forward/index.js'
import { server } from './jobs.js'
import { RecordedLog } from './recordedlog.js'
import { HEADER_NAMES, type Script, ScriptedServer } from './rig.js'
import { clock } from './testhost.js'

/** Time in which the end of a connection is noticed, in milliseconds. */
const NOTICE_MS = 200

const HEAD = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nConnection: close\r\n\r\n'
const KEPT_RESPONSE = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nContent-Length: 2\r\n\r\nok'

/** Larger than what is parsed at once. */
const PART_BYTES = 10_000

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Reads nothing more after the first bytes of a body until it is told to. */
class SlowReader implements ResponseHandler {
  bytes = 0
  outcome = ''
  canRead = false

  onSent (): void { this.outcome = 'sent' }
  onReading (): void { this.outcome = 'sent' }
  onHead (): void { this.outcome = 'begun' }

  onBody (bytes: Buffer): boolean {
    this.bytes += bytes.length
    return this.canRead
  }

  onEnd (): void { this.outcome = 'complete' }
  onFailure (): void { this.outcome = 'failed' }
  onUnusable (): void { this.outcome = 'unusable' }
  onUnsendable (): void { this.outcome = 'unsendable' }
}

describe('a response whose caller does not read', () => {
  let scripted: ScriptedServer
  const pool = new ConnectionPool(new RecordedLog().logger)
  afterEach(() => {
    scripted.close()
    pool.close()
  })

  async function start (script: Script): Promise<{ exchange: Exchange, reader: SlowReader }> {
    scripted = await ScriptedServer.start(script)
    pool.setIdleLimits(new Map([[scripted.address, 1]]))
    return await send()
  }

  async function send (): Promise<{ exchange: Exchange, reader: SlowReader }> {
    const reachability = new Reachability({
      clock, random: new SystemRandom(), listAddresses: () => [], probe: probeConnection, onChange: () => undefined
    })
    const transport = new DirectTransport(pool, reachability, HEADER_NAMES.attemptId)
    const reader = new SlowReader()
    const request = { method: 'GET', target: '/', headers: [HEADER_NAMES.attemptId, 'a1'], body: null, remainingMs: 5_000 }
    const exchange = transport.send({ ...server('a'), address: scripted.address }, request, reader)
    await sleep(NOTICE_MS)
    return { exchange, reader }
  }

  // Guards against the end of the process by an assertion of the HTTP parser, which one server could cause.
  it('fails if it ends with its connection, which is reset', async () => {
    const { reader } = await start((_, __, socket) => {
      socket.write(HEAD + 'x'.repeat(PART_BYTES))
      setTimeout(() => socket.resetAndDestroy(), NOTICE_MS / 4)
    })
    await sleep(NOTICE_MS)
    expect(reader.outcome).toEqual('failed')
    expect(reader.bytes < PART_BYTES).toEqual(true)
  })

  // Guards against the same by an ordinary end, and against the loss of bytes that were not read yet.
  it('is complete once all was read if it ends with its connection', async () => {
    const { reader, exchange } = await start((_, __, socket) => {
      socket.write(HEAD + 'x'.repeat(PART_BYTES))
      setTimeout(() => socket.end('x'.repeat(PART_BYTES)), NOTICE_MS / 4)
    })
    await sleep(NOTICE_MS)
    expect(reader.bytes < PART_BYTES).toEqual(true)
    reader.canRead = true
    exchange.resume()
    await sleep(NOTICE_MS)
    expect([reader.outcome, reader.bytes]).toEqual(['complete', 2 * PART_BYTES])
  })

  // Guards against a connection that carries the next request but is not read, since its last response was held back.
  it('leaves its connection to the next request if it was complete by then', async () => {
    const first = await start((_, __, socket) => socket.write(KEPT_RESPONSE))
    expect(first.reader.outcome).toEqual('complete')
    first.exchange.release()
    const second = await send()
    expect([second.reader.outcome, second.reader.bytes]).toEqual(['complete', 2])
    expect(scripted.connections).toEqual(1)
  })
})
