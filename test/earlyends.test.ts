import { afterEach, describe, it } from 'node:test'
import type { Socket } from 'node:net'
import { expect } from 'earl'
import { answer, HostFleet, sleep } from './hostfleet.js'
import { Cut, killHostProcess, severHost, stopHostProcess, waitFor } from './hostprocess.js'
import { type Received, sendRaw } from './rawcaller.js'
import type { Script } from './scriptedserver.js'

/** First port of the hosts under test. */
const FIRST_PORT = 31_300

/** Number of servers; enough that some are usable while others are avoided after their faults. */
const SERVERS = 24

/** Time limit of the streams, in milliseconds; that of a case whose next server sends nothing. */
const STREAM_TIMEOUT_MS = 800

/** Time for which a server waits before it ends a response early, so that what it sent has arrived; in milliseconds. */
const END_DELAY_MS = 40

/** Time until streams that do not end were begun, in milliseconds. */
const BEGIN_MS = 300
const EVENTS = ['id: 1\ndata: x\n\n', 'id: 2\ndata: x\n\n', 'id: 3\ndata: x\n\n']
const STREAM = EVENTS.join('')

/** A body that does not fit into the buffers of a connection whose caller does not read. */
const LARGE_BODY = 'x'.repeat(3 << 20)

/** How a server marks the end of its body. */
const FRAMINGS = ['length', 'chunks', 'close'] as const
type Framing = typeof FRAMINGS[number]

/** Where a response ends early. */
const PLACES = ['inside the head', 'without events', 'between events', 'inside an event'] as const
type Place = typeof PLACES[number]

/** What ends it. */
const WAYS = ['end', 'reset', 'kill'] as const
type Way = typeof WAYS[number]

/** What the next server does. */
const NEXT = ['breaks off too', 'sends a response without events', 'sends nothing'] as const
type Next = typeof NEXT[number]

interface Case {
  readonly framing: Framing
  readonly place: Place
  readonly way: Way
  readonly next: Next
}

/** A route, and what the next server does; it gets no request of the route `once`. */
const VARIANTS: ReadonlyArray<readonly [route: string, next: Next]> = [
  ['once', 'breaks off too'], ['safe', 'breaks off too'], ...NEXT.map(next => ['resumable', next] as const)
]

/** What the server sends of its body. */
const SENT: Readonly<Record<Place, string>> = {
  'inside the head': '',
  'without events': '',
  'between events': EVENTS[0]! + EVENTS[1]!,
  'inside an event': `${EVENTS[0]!}${EVENTS[1]!}id: 3\nda`
}

/** Whether a body without a length or chunks may be complete: its server goes on, and has sent whole events. */
function isProperEnd ({ framing, place, way }: Case, route: string): boolean {
  const isWhole = place === 'between events' || (route === 'safe' && place === 'inside an event')
  return framing === 'close' && way === 'end' && isWhole
}

const FRAMING_HEADERS: Readonly<Record<Framing, (length: number) => string>> = {
  length: length => `Content-Length: ${length}\r\n`,
  chunks: () => 'Transfer-Encoding: chunked\r\n',
  close: () => 'Connection: close\r\n'
}

function head (request: string, framing: Framing, length: number): string {
  const id = /attempt-id: (\w+)/i.exec(request)?.[1] ?? ''
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n` +
    `${FRAMING_HEADERS[framing](length)}\r\n`
}

function frame (framing: Framing, text: string): string {
  return framing === 'chunks' && text !== '' ? `${text.length.toString(16)}\r\n${text}\r\n` : text
}

/** @returns what a server sends before it breaks off */
function partialResponse (request: string, { framing, place }: Case): string {
  const start = head(request, framing, STREAM.length)
  if (place === 'inside the head') return start.slice(0, -2)
  return start + frame(framing, SENT[place])
}

describe('a response that ends early', { timeout: 120_000 }, () => {
  let fleet: HostFleet
  afterEach(() => fleet.close())

  /** Breaks off as the case says. */
  function breakOff (request: string, socket: Socket, current: Case): void {
    socket.write(partialResponse(request, current))
    setTimeout(() => {
      const index = fleet.servers.findIndex(({ usedConnections }) => usedConnections.has(socket))
      if (current.way === 'end') socket.end()
      else if (current.way === 'reset') socket.resetAndDestroy()
      else void fleet.killServer(index)
    }, END_DELAY_MS)
  }

  function continueStream (request: string, socket: Socket, current: Case): void {
    if (current.next === 'breaks off too') breakOff(request, socket, { ...current, place: 'without events' })
    else if (current.next === 'sends a response without events') {
      const end = current.framing === 'chunks' ? '0\r\n\r\n' : ''
      socket.write(head(request, current.framing, 0) + end)
      if (current.framing === 'close') socket.end()
    }
  }

  /** Starts hosts whose servers follow a script, and sends as many other requests as permit the retries of the test. */
  async function start (
    hostCount: number, firstPort: number, script: Script, timeoutMs = STREAM_TIMEOUT_MS
  ): Promise<void> {
    fleet = await HostFleet.start(hostCount, firstPort, (request, index, socket) => {
      if (request.startsWith('GET /warm/')) answer(request, index, socket)
      else script(request, index, socket)
    }, [], { serverCount: SERVERS })
    fleet.putConfig(2, [
      { prefix: '/warm/', kind: 'safe' },
      { prefix: '/safe/', kind: 'safe' },
      { prefix: '/resumable/', kind: 'streaming', timeoutMs },
      { prefix: '/once/', kind: 'streaming', isResumable: false, timeoutMs }
    ])
    await waitFor(async () => (await fleet.callAll('/warm/', 1, 1)).flat().every(status => status === 200))
    await fleet.callAll('/warm/', 100, 5)
  }

  let lastAttempt = 0
  function receive (route: string): Promise<Received> {
    const attemptId = `e${++lastAttempt}`
    return sendRaw(fleet.hosts[0]!.callerAddress, { target: `/${route}/${attemptId}`, attemptId })
  }

  for (const [groupIndex, framing] of FRAMINGS.entries()) {
    // Guards against a stream of which events are missing and that looks complete, whoever ended it early and where.
    it(`does not look complete if a server ends it that frames by ${framing}`, async () => {
      let current: Case = { framing, place: 'between events', way: 'end', next: 'sends nothing' }
      const seen = new Set<string>()
      await start(1, FIRST_PORT + 10 * groupIndex, (request, _, socket) => {
        const target = request.split(' ')[1]!
        if (seen.has(target)) continueStream(request, socket, current)
        else breakOff(request, socket, current)
        seen.add(target)
      })
      const wrong: string[] = []
      for (const place of PLACES) {
        for (const way of WAYS) {
          for (const [route, next] of VARIANTS) {
            current = { framing, place, way, next }
            const { isComplete, body, text } = await receive(route)
            const isWrong = isProperEnd(current, route)
              ? !isComplete || body !== SENT[place]
              : isComplete && text.startsWith('HTTP/1.1 200')
            if (isWrong) wrong.push(`${route}, ${place}, ${way}, next ${next}: ${JSON.stringify(text)}`)
          }
        }
      }
      if (wrong.length > 0) throw new Error(wrong.join('\n'))
    })
  }

  /** Sends the begin of a stream, or a whole large body. */
  const begin: Script = (request, _, socket) => {
    const framing = FRAMINGS[Number(/-(\d)$/.exec(request.split(' ')[1]!)?.[1] ?? 0)]!
    if (request.startsWith('GET /safe/')) {
      socket.write(head(request, framing, LARGE_BODY.length) + frame(framing, LARGE_BODY))
      if (framing === 'close') socket.end()
      else if (framing === 'chunks') socket.write('0\r\n\r\n')
    } else socket.write(partialResponse(request, { framing, place: 'between events', way: 'end', next: 'sends nothing' }))
  }

  /**
   * Begins streams and large bodies with each framing by the server and each version of the caller, runs a fault, and
   * returns the responses that look complete but are not.
   */
  async function receiveDuring (host: number, fault: () => Promise<unknown>): Promise<string[]> {
    let readNow = (): void => undefined
    const untilRead = new Promise<void>(resolve => { readNow = resolve })
    const pending: Array<Promise<string>> = []
    for (const [index, framing] of FRAMINGS.entries()) {
      for (const version of ['1.1', '1.0']) {
        for (const route of ['once', 'resumable', 'safe']) {
          const attemptId = `e${++lastAttempt}`
          const request = { target: `/${route}/${attemptId}-${index}`, attemptId, version }
          const received = sendRaw(fleet.hosts[host]!.callerAddress, route === 'safe' ? { ...request, untilRead } : request)
          pending.push(received.then(({ isComplete, body, text }) => {
            const isWhole = body === (route === 'safe' ? LARGE_BODY : STREAM)
            const isSuccess = /^HTTP\/1.. 200/.test(text)
            return isSuccess && isComplete && !isWhole ? `${route}, ${framing}, HTTP/${version}: ${body.length} bytes` : ''
          }))
        }
      }
    }
    await sleep(BEGIN_MS)
    await fault()
    readNow()
    return (await Promise.all(pending)).filter(text => text !== '')
  }

  // Guards against streams and bodies that look complete because the system closes the connections of a killed host.
  it('does not look complete if the process of its host is killed', async () => {
    await start(1, FIRST_PORT + 40, begin, 5_000)
    expect(await receiveDuring(0, () => killHostProcess(fleet.hosts[0]!))).toEqual([])
  })

  // Guards against streams that look complete because their host closes its connections at the end of its grace time.
  it('does not look complete if its host stops and its grace time is over', async () => {
    await start(1, FIRST_PORT + 50, begin, 20_000)
    expect(await receiveDuring(0, () => stopHostProcess(fleet.hosts[0]!))).toEqual([])
  })

  // Guards against streams that look complete if a host stands still for long, goes on, or is killed meanwhile.
  it('does not look complete if its host is frozen', async () => {
    await start(1, FIRST_PORT + 60, begin, 5_000)
    expect(await receiveDuring(0, async () => {
      fleet.hosts[0]!.process.kill('SIGSTOP')
      await sleep(2_500)
      fleet.hosts[0]!.process.kill('SIGCONT')
    })).toEqual([])
    expect(await receiveDuring(0, async () => {
      fleet.hosts[0]!.process.kill('SIGSTOP')
      await sleep(100)
      await killHostProcess(fleet.hosts[0]!)
    })).toEqual([])
  })

  for (const [offset, [name, victim]] of ([['the host that relays it', 1], ['the host that has it', 0]] as const).entries()) {
    // Guards against a relayed stream that looks complete because either of the two hosts ended.
    it(`does not look complete if ${name} is killed`, async () => {
      await start(2, FIRST_PORT + 70 + 20 * offset, begin, 5_000)
      await severHost(fleet.hosts[0]!, fleet.serverAddresses, Cut.refuse)
      await waitFor(async () => {
        // More than there are idle connections to any server: only a new connection is refused.
        await Promise.all(Array.from({ length: SERVERS }, () => fleet.callAtRate(fleet.hosts[0]!, '/warm/', 2, 1)))
        return fleet.hosts[0]!.output.includes('servers-unreachable')
      })
      expect(await receiveDuring(0, () => killHostProcess(fleet.hosts[victim]!))).toEqual([])
    })
  }
})
