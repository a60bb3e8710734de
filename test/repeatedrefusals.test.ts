import type { Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answerHeaders, HostFleet } from './hostfleet.js'
import { respond, type Script } from './scriptedserver.js'

/** First port of the host under test. */
const FIRST_PORT = 30_700

const REQUESTS = 60
const INTERVAL_MS = 25

/** Time for which a server runs a request, in milliseconds. */
const RUN_MS = 15

/** Statuses by which callers know that their request has not run. */
const PROMISES = [408, 421, 429, 503]

const STATUS_LINES = ['503 Service Unavailable', '429 Too Many Requests', '421 Misdirected Request']

describe('a server that repeats an earlier refusal on a kept connection', () => {
  let fleet: HostFleet
  afterEach(() => fleet.close())

  /**
   * Sends calls that may run once to servers which refuse the first request of a connection and write the refusal again
   * before they run the next one. Returns the ids of the requests that ran, each as often as it ran.
   */
  async function call (firstPort: number, namesAttempt: boolean): Promise<string[]> {
    const runs: string[] = []
    const refusals = new WeakMap<Socket, () => void>()
    const script: Script = (request, index, socket) => {
      const copy = refusals.get(socket)
      if (copy === undefined) {
        const headers = ['Not-Executed: 1', ...(namesAttempt ? answerHeaders(request).slice(0, 1) : [])]
        const refuse = (): void => respond(socket, STATUS_LINES[index % STATUS_LINES.length]!, '', headers)
        refusals.set(socket, refuse)
        refuse()
        return
      }
      runs.push(/attempt-id: (\w+)/i.exec(request)![1]!)
      copy()
      setTimeout(() => respond(socket, '200 OK', 'ok', answerHeaders(request)), RUN_MS)
    }
    fleet = await HostFleet.start(1, firstPort, script, ['unsafe'])
    await fleet.callAll('/unsafe/', REQUESTS, INTERVAL_MS)
    return runs
  }

  /** Checks that no request that ran was refused, and that none ran twice. */
  function expectTrueRefusals (runs: readonly string[]): void {
    expect(runs.filter(id => PROMISES.includes(fleet.statuses.get(id)!))).toEqual([])
    expect(runs.length).toEqual(new Set(runs).size)
    expect(fleet.statuses.size).toEqual(REQUESTS)
  }

  // Guards against telling a caller that a request has not run which runs, or running it at a second server too.
  it('does not refuse the next request with it, if responses name their attempts', async () => {
    const runs = await call(FIRST_PORT, true)
    expect(runs.length > 0).toEqual(true)
    expectTrueRefusals(runs)
  })

  // Guards against the same if nothing in the response tells that it belongs to an earlier request.
  it('does not refuse the next request with it, if responses do not name their attempts', async () => {
    expectTrueRefusals(await call(FIRST_PORT + 10, false))
  })
})
