import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answer, answerHeaders, HostFleet, sleep } from './hostfleet.js'
import { Cut, severHost, waitFor } from './hostprocess.js'
import { sendRaw } from './rawcaller.js'

/** First port of the hosts under test. */
const FIRST_PORT = 31_700

/** Number of servers; enough that some are usable while others are avoided after their faults. */
const SERVERS = 12

/** Requests of each kind that are in progress. */
const REQUESTS = 4

/** Time until the responses were begun, in milliseconds. */
const BEGIN_MS = 300

/** Time for which a host stands still after the servers have started again, in milliseconds. */
const FREEZE_MS = 700
const STREAM_TIMEOUT_MS = 3_000
const ROUTES = ['once', 'resumable', 'safe', 'unsafe'] as const
const FIRST_EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'

/** Events that fit into the buffers on the way only if the host does not read all of them. */
const MANY_EVENTS = Array.from({ length: 4_096 }, (_, index) => `id: ${index + 1}\ndata: ${'x'.repeat(1_000)}\n\n`).join('')

/** Time until the host knows of the servers that started again, in milliseconds. */
const KNOWN_MS = 500

describe('a response without a length whose server is killed and starts again', { timeout: 120_000 }, () => {
  let fleet: HostFleet
  afterEach(() => fleet.close())

  async function start (hostCount: number, firstPort: number): Promise<void> {
    fleet = await HostFleet.start(hostCount, firstPort, (request, index, socket) => {
      if (request.startsWith('GET /warm/')) answer(request, index, socket)
      else {
        const headers = [...answerHeaders(request), 'Content-Type: text/event-stream']
        socket.write(`HTTP/1.1 200 OK\r\n${headers.join('\r\n')}\r\n\r\n${request.includes('/long') ? MANY_EVENTS : FIRST_EVENTS}`)
      }
    }, [], { serverCount: SERVERS })
    fleet.putConfig(2, [
      { prefix: '/warm/', kind: 'safe' },
      { prefix: '/safe/', kind: 'safe', timeoutMs: STREAM_TIMEOUT_MS },
      { prefix: '/unsafe/', kind: 'unsafe', timeoutMs: STREAM_TIMEOUT_MS },
      { prefix: '/resumable/', kind: 'streaming', timeoutMs: STREAM_TIMEOUT_MS },
      { prefix: '/once/', kind: 'streaming', isResumable: false, timeoutMs: STREAM_TIMEOUT_MS }
    ])
    await waitFor(async () => (await fleet.callAll('/warm/', 1, 1)).flat().every(status => status === 200))
    await fleet.callAll('/warm/', 50, 5)
  }

  /** Begins responses, runs a fault, and returns the responses that look complete. */
  async function receiveDuring (fault: () => Promise<unknown>): Promise<string[]> {
    const pending = ROUTES.flatMap(route => Array.from({ length: REQUESTS }, async (_, index) => {
      const received = await sendRaw(fleet.hosts[0]!.callerAddress, {
        target: `/${route}/1`, attemptId: `${route}${index}`, deadlineMs: STREAM_TIMEOUT_MS
      })
      return received.isComplete && received.text.startsWith('HTTP/1.1 200') ? `${route}: ${received.text}` : ''
    }))
    await sleep(BEGIN_MS)
    await fault()
    return (await Promise.all(pending)).filter(text => text !== '')
  }

  function restartServers (): Promise<unknown> {
    return Promise.all(fleet.servers.map((_, index) => fleet.killServer(index)))
  }

  /** Stops a host while all servers are killed and start again. */
  async function restartServersBehind (index: number): Promise<void> {
    const { process } = fleet.hosts[index]!
    process.kill('SIGSTOP')
    await restartServers()
    await sleep(FREEZE_MS)
    process.kill('SIGCONT')
  }

  // Guards against half of a response that looks complete because its server runs again when the host asks.
  it('does not look complete if its host stood still meanwhile', async () => {
    await start(1, FIRST_PORT)
    expect(await receiveDuring(() => restartServersBehind(0))).toEqual([])
  })

  // Guards against a stream without its last events that looks complete because its caller read it late.
  it('does not look complete if its caller did not read meanwhile', async () => {
    await start(1, FIRST_PORT + 40)
    let readNow = (): void => undefined
    const untilRead = new Promise<void>(resolve => { readNow = resolve })
    const pending = ['once', 'resumable'].map(route => sendRaw(fleet.hosts[0]!.callerAddress, {
      target: `/${route}/long`, attemptId: `${route}0`, deadlineMs: STREAM_TIMEOUT_MS, untilRead
    }))
    await sleep(BEGIN_MS)
    await restartServers()
    fleet.servers.forEach((_, index) => fleet.putServer(index, 'ready', undefined, 2))
    await sleep(KNOWN_MS)
    readNow()
    const received = await Promise.all(pending)
    expect(received.map(({ isComplete, body }) => `${isComplete} ${body.length > 1 << 20}`)).toEqual(['false true', 'false true'])
  })

  // Guards against the same where a host that relays the request stood still.
  it('does not look complete if the host that relays it stood still meanwhile', async () => {
    await start(2, FIRST_PORT + 20)
    await severHost(fleet.hosts[0]!, fleet.serverAddresses, Cut.refuse)
    await waitFor(async () => {
      await Promise.all(Array.from({ length: SERVERS }, () => fleet.callAtRate(fleet.hosts[0]!, '/warm/', 2, 1)))
      return fleet.hosts[0]!.output.includes('servers-unreachable')
    })
    expect(await receiveDuring(() => restartServersBehind(1))).toEqual([])
  })
})
