import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import { type AddressInfo, connect, createServer as createTcpServer, type Server } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '../src/base/index.js'
import { answer, HostFleet, sleep } from './hostfleet.js'

const HOSTS = 2

/** First port of the hosts under test. */
const FIRST_PORT = 31_000

/** Time in which the hosts try to use an odd peer several times, in milliseconds. */
const RUN_MS = 2_500

/** More processor cores than any other member has, so that all hosts link to it first. */
const CORES = 64

const SEED = 7
const RANDOM_MESSAGES = 40

const PREFACE = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
const EMPTY_SETTINGS = '\0\0\0\x04\0\0\0\0\0'
const LINK_PATH = '/marigoldvalve.dispatch.v1.Dispatch/Link'

/** @returns bytes of a frame of HTTP/2 */
function frame (type: number, flags: number, stream: number, payload: Buffer): Buffer {
  const head = Buffer.alloc(9)
  head.writeUIntBE(payload.length, 0, 3)
  head.writeUInt8(type, 3)
  head.writeUInt8(flags, 4)
  head.writeUInt32BE(stream, 5)
  return Buffer.concat([head, payload])
}

function randomBytes (random: SeededRandom, length: number): Buffer {
  return Buffer.from(Array.from({ length }, () => Math.floor(random.next() * 256)))
}

/** @returns a message of gRPC with any content */
function randomMessage (random: SeededRandom): Buffer {
  const content = randomBytes(random, Math.floor(random.next() * 60))
  const head = Buffer.alloc(5)
  head.writeUInt32BE(content.length, 1)
  return Buffer.concat([head, content])
}

describe('hosts whose peers send odd bytes', { timeout: 60_000 }, () => {
  let fleet: HostFleet
  const closers: Array<() => void> = []
  afterEach(async () => {
    await fleet.close()
    closers.splice(0).forEach(close => close())
  })

  async function listen (server: Server | Http2Server): Promise<string> {
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    closers.push(() => server.close())
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  async function expectSound (): Promise<void> {
    expect(fleet.hosts.map(({ process }) => process.exitCode)).toEqual(fleet.hosts.map(() => null))
    const statuses = (await fleet.callAll('/safe/', 40, 10)).flat()
    expect(statuses.filter(status => status !== 200)).toEqual([])
  }

  // Guards against the end of a host's process by bytes that reach its port for links.
  it('keep running and serving if these connect to them', async () => {
    fleet = await HostFleet.start(HOSTS, FIRST_PORT, answer, ['safe'])
    const random = new SeededRandom(SEED)
    const texts: Buffer[] = ['GET / HTTP/1.1\r\nHost: a\r\n\r\n', PREFACE, PREFACE + EMPTY_SETTINGS, '\0'.repeat(100)]
      .map(text => Buffer.from(text, 'latin1'))
    for (let i = 0; i < RANDOM_MESSAGES; i++) {
      const frames = [0, 1, 2, 3].map(() => frame(Math.floor(random.next() * 11), Math.floor(random.next() * 256),
        Math.floor(random.next() * 4), randomBytes(random, Math.floor(random.next() * 40))))
      texts.push(Buffer.concat([Buffer.from(PREFACE + EMPTY_SETTINGS, 'latin1'), ...frames]), randomBytes(random, 200))
    }
    for (const bytes of texts) {
      const [ip, port] = fleet.hosts[0]!.linkAddresses[0]!.split(':')
      const socket = connect(Number(port), ip)
      closers.push(() => socket.destroy())
      socket.on('error', () => undefined)
      socket.write(bytes)
      if (random.next() < 0.5) socket.end()
      await sleep(10)
    }
    await sleep(RUN_MS)
    await expectSound()
  })

  // Guards against the same by responses to a link, each of which is read outside of any request.
  it('keep running and serving if they connect to these', async () => {
    fleet = await HostFleet.start(HOSTS, FIRST_PORT + 20, answer, ['safe'])
    const random = new SeededRandom(SEED)
    const sessions = new Set<ServerHttp2Session>()
    const grpc = createServer()
    grpc.on('session', session => {
      sessions.add(session)
      session.on('error', () => undefined)
    })
    grpc.on('stream', (stream, headers) => {
      stream.on('error', () => undefined)
      expect(headers[':path']).toEqual(LINK_PATH)
      stream.respond({ ':status': 200, 'content-type': 'application/grpc' })
      for (let i = 0; i < 4; i++) stream.write(randomMessage(random))
    })
    closers.push(() => sessions.forEach(session => session.destroy()))
    const raw = createTcpServer(socket => {
      closers.push(() => socket.destroy())
      socket.on('error', () => undefined)
      socket.write(EMPTY_SETTINGS, 'latin1')
      socket.write(frame(Math.floor(random.next() * 11), 4, 1, randomBytes(random, 30)))
    })
    const addresses = [await listen(grpc), await listen(raw)]
    addresses.forEach((address, index) => fleet.store.put('members', `odd-${index}`, { address, cores: CORES + index }))
    await sleep(RUN_MS)
    expect(sessions.size > 0).toEqual(true)
    await expectSound()
  })
})
