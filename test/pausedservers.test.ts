import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answerHeaders, HostFleet } from './hostfleet.js'
import { Cut, killHostProcess, severHost } from './hostprocess.js'
import { respond, type Script } from './scriptedserver.js'

/** How long a server asks a host for a pause, from when on the users check it, and how many requests they allow. */
const PAUSE_S = 3
const PAUSE_MS = 3_000
const PAUSE_GRACE_MS = 500
const REQUESTS_DURING_PAUSE = 2

/** A server turns away one request in so many. */
const REQUESTS_PER_PAUSE = 6

const REQUEST_INTERVAL_MS = 25
const REQUESTS = 240

const HOSTS = 3

/** First port of the hosts under test. */
const FIRST_PORT = 29_100

/** A pause that a server asked a host for, and how many requests came in it later than {@link PAUSE_GRACE_MS}. */
interface Pause {
  readonly startedAt: number
  requests: number
}

describe('servers that ask hosts for pauses', () => {
  let fleet: HostFleet
  /** The pauses by server and host. */
  let pauses: Map<string, Pause[]>
  beforeEach(() => { pauses = new Map() })
  afterEach(async () => { await fleet.close() })

  const answerOrPause: Script = (text, index, socket) => {
    const key = `${socket.localPort} ${socket.remoteAddress}`
    const known = pauses.get(key) ?? []
    pauses.set(key, known)
    const now = performance.now()
    for (const pause of known) {
      if (now > pause.startedAt + PAUSE_GRACE_MS && now < pause.startedAt + PAUSE_MS) pause.requests++
    }
    if (index % REQUESTS_PER_PAUSE > 0) {
      setTimeout(() => respond(socket, '200 OK', 'ok', answerHeaders(text)), 20)
      return
    }
    known.push({ startedAt: now, requests: 0 })
    respond(socket, '503 Busy', '', [...answerHeaders(text), 'Not-Executed: 1', `Retry-After: ${PAUSE_S}`])
  }

  function expectKept (): void {
    const all = [...pauses.values()].flat()
    expect(all.length > 0).toEqual(true)
    expect(all.filter(({ requests }) => requests > REQUESTS_DURING_PAUSE)).toEqual([])
  }

  // Guards against BUDGET: hosts sent on to servers that had asked them for a pause.
  it('get none from these hosts, also when the scheduler changes', async () => {
    fleet = await HostFleet.start(HOSTS, FIRST_PORT, answerOrPause, ['safe'])
    const calls = fleet.callAll('/safe/', REQUESTS, REQUEST_INTERVAL_MS)
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS / 2))
    const scheduler = fleet.hosts[0]!.output.match(/"scheduler":"host-(\d)"/g)!.at(-1)!
    await killHostProcess(fleet.hosts[Number(/host-(\d)/.exec(scheduler)![1])]!)
    await calls
    expect(new Set([...pauses.keys()].map(key => key.split(' ')[1])).size).toEqual(HOSTS)
    expectKept()
  })

  // Guards against BUDGET: requests that a host relays for another one reach a server that asked it for a pause.
  it('get none from these hosts, also for a host that cannot reach servers', async () => {
    fleet = await HostFleet.start(HOSTS, FIRST_PORT, answerOrPause, ['safe'])
    await severHost(fleet.hosts[0]!, fleet.serverAddresses, Cut.reset)
    await fleet.callAll('/safe/', REQUESTS, REQUEST_INTERVAL_MS)
    expect(new Set([...pauses.keys()].map(key => key.split(' ')[1])).size).toEqual(HOSTS - 1)
    expectKept()
  })
})
