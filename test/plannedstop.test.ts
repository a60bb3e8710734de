import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answer, HostFleet, sleep } from './hostfleet.js'
import { stopHostProcess, waitFor } from './hostprocess.js'
import { type RawRequest, type Received, sendRaw } from './rawcaller.js'
import type { Script } from './scriptedserver.js'

/** First port of the hosts under test. */
const FIRST_PORT = 31_500

/** Slots of all servers. */
const SLOTS = 24

/** Time limit of the routes, in milliseconds; longer than the grace time of the hosts, 5 s. */
const TIMEOUT_MS = 20_000

/** Time until requests were passed on or wait for a slot, in milliseconds. */
const ARRIVAL_MS = 400

/** Time at which a host that stops takes no more requests, and the grace time is not over yet; in milliseconds. */
const LATE_MS = 3_800

describe('a planned stop of a host whose servers are busy', { timeout: 60_000 }, () => {
  let fleet: HostFleet
  afterEach(() => fleet.close())

  /** Starts a host, with a request that shows that it knows its servers. */
  async function start (firstPort: number, script: Script): Promise<void> {
    fleet = await HostFleet.start(1, firstPort, (request, index, socket) => {
      if (request.startsWith('GET /warm/')) answer(request, index, socket)
      else script(request, index, socket)
    }, [])
    fleet.putConfig(2, [
      { prefix: '/warm/', kind: 'safe' },
      { prefix: '/unsafe/', kind: 'unsafe', timeoutMs: TIMEOUT_MS },
      { prefix: '/safe/', kind: 'safe', timeoutMs: TIMEOUT_MS }
    ])
    await waitFor(async () => (await fleet.callAll('/warm/', 1, 1)).flat().every(status => status === 200))
  }

  function send (id: string, options: Partial<RawRequest> = {}): Promise<Received> {
    return sendRaw(fleet.hosts[0]!.callerAddress, { target: `/unsafe/${id}`, attemptId: id, deadlineMs: 15_000, ...options })
  }

  /** @returns the status of a complete response; undefined if there is none */
  function statusOf ({ text, isComplete }: Received): string | undefined {
    return isComplete ? text.split(' ')[1] : undefined
  }

  function passedOn (): string[] {
    return fleet.servers.flatMap(({ requests }) => requests).map(text => text.split(' ')[1]!).filter(path => !path.startsWith('/warm/'))
  }

  // Guards against requests that are cut off without a response at the end of the grace time.
  it('answers each request: those that wait with 503, those that may have run with 502', async () => {
    await start(FIRST_PORT, () => undefined)
    const pending = Array.from({ length: SLOTS + 16 }, (_, i) => send(`a${i}`))
    await sleep(ARRIVAL_MS)
    await stopHostProcess(fleet.hosts[0]!)
    const statuses = (await Promise.all(pending)).map(statusOf)
    const sent = new Set(passedOn())
    expect(sent.size).toBeGreaterThan(SLOTS - 1)
    expect(sent.size).toBeLessThan(pending.length)
    expect(statuses).toEqual(pending.map((_, i) => sent.has(`/unsafe/a${i}`) ? '502' : '503'))
  })

  // Guards against requests that are passed on late in the grace time and cut off at its end, though they may run once.
  it('passes on no request late that was received early', async () => {
    let endWork = (): void => undefined
    const isWorking = new Promise<void>(resolve => { endWork = resolve })
    await start(FIRST_PORT + 10, (request, _, socket) => {
      void isWorking.then(() => answer(request, 0, socket))
    })
    const pending = Array.from({ length: SLOTS + 8 }, (_, i) => send(`b${i}`))
    await sleep(ARRIVAL_MS)
    const sent = passedOn()
    setTimeout(endWork, LATE_MS)
    await stopHostProcess(fleet.hosts[0]!)
    const statuses = (await Promise.all(pending)).map(statusOf)
    expect(statuses).toEqual(pending.map((_, i) => sent.includes(`/unsafe/b${i}`) ? '200' : '503'))
    expect(sent.length).toBeLessThan(pending.length)
    expect(passedOn()).toEqual(sent)
  })

  // Guards against requests whose bodies are complete late in the grace time, so that their responses are cut off.
  it('answers requests whose bodies end late, or never, with 503', async () => {
    await start(FIRST_PORT + 20, () => undefined)
    const untilLast = sleep(ARRIVAL_MS + LATE_MS)
    const late = Array.from({ length: 4 }, (_, i) => send(`l${i}`, { body: { text: 'x'.repeat(100), untilLast } }))
    const never = new Promise(() => undefined)
    late.push(...Array.from({ length: 4 }, (_, i) => send(`n${i}`, { body: { text: 'x'.repeat(100), untilLast: never } })))
    await sleep(ARRIVAL_MS)
    await stopHostProcess(fleet.hosts[0]!)
    expect((await Promise.all(late)).map(statusOf)).toEqual(late.map(() => '503'))
    expect(passedOn()).toEqual([])
  })
})
