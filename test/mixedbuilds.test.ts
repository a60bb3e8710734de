import { after, afterEach, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { answerHeaders, HostFleet, sleep } from './hostfleet.js'
import { killHostProcess } from './hostprocess.js'
import { LandedProgram, productionCommit } from './landedprogram.js'
import { respond, type Script } from './scriptedserver.js'

const HOSTS = 3

/** Share of the requests at the other hosts that are served at least while the scheduler is lost. */
const SERVED_SHARE = 0.95

/** First port of the hosts under test. */
const FIRST_PORT = 29_300

const REQUEST_INTERVAL_MS = 25

/** Requests to each host while one host is replaced; they take longer than the replacement. */
const REQUESTS_PER_STEP = 160

/** Statuses that promise that the request has not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Statuses that callers get in regular operation, and 0 for a connection that a host closed or refused. */
const EXPECTED_STATUSES: ReadonlySet<number> = new Set([200, 503, 0])

describe('hosts of this build and of the one in production', () => {
  const commit = productionCommit()
  let landed: LandedProgram | undefined
  let fleet: HostFleet | undefined
  /** How often the servers ran each attempt. */
  let runs: Map<string, number>
  before(() => {
    landed = LandedProgram.build(commit)
    if (landed === undefined) process.stderr.write(`not run: no history of ${commit}\n`)
  })
  after(() => landed?.remove())
  afterEach(async () => {
    await fleet?.close()
    fleet = undefined
  })

  const answer: Script = (text, _, socket) => {
    const id = /attempt-id: (\w+)/i.exec(text)?.[1] ?? ''
    runs.set(id, (runs.get(id) ?? 0) + 1)
    setTimeout(() => respond(socket, '200 OK', 'ok', answerHeaders(text)), 20)
  }

  /** Returns the ids of requests that ran though their status promises that they did not. */
  function findFalsePromises (): string[] {
    return [...fleet!.statuses].filter(([id, status]) => PROMISES.has(status) && runs.has(id)).map(([id]) => id)
  }

  /** Sends requests to all hosts while a step of the roll-out is taken, and checks their outcomes. */
  async function checkDuring (step: () => Promise<unknown>): Promise<void> {
    fleet!.statuses.clear()
    await Promise.all([fleet!.callAll('/unsafe/', REQUESTS_PER_STEP, REQUEST_INTERVAL_MS), step()])
    const statuses = [...fleet!.statuses]
    expect(statuses.filter(([, status]) => !EXPECTED_STATUSES.has(status))).toEqual([])
    expect(statuses.filter(([id, status]) => status === 0 && runs.has(id))).toEqual([])
    expect(statuses.filter(([, status]) => status === 200).length > REQUESTS_PER_STEP * (HOSTS - 1)).toEqual(true)
    expect(findFalsePromises()).toEqual([])
  }

  /** Kills the host that schedules, while only the other hosts get requests, and starts it again. */
  async function checkLossOfScheduler (program?: string): Promise<void> {
    fleet!.statuses.clear()
    const scheduler = fleet!.schedulerIndex
    const others = fleet!.hosts.filter((_, index) => index !== scheduler)
    const calls = others.map(host => fleet!.callAtRate(host, '/unsafe/', REQUESTS_PER_STEP, REQUEST_INTERVAL_MS))
    await sleep(REQUEST_INTERVAL_MS * REQUESTS_PER_STEP / 4)
    await killHostProcess(fleet!.hosts[scheduler]!)
    await fleet!.restartHost(scheduler, program)
    const statuses = (await Promise.all(calls)).flat()
    expect(statuses.filter(status => status === 200).length >= SERVED_SHARE * statuses.length).toEqual(true)
    expect(findFalsePromises()).toEqual([])
  }

  // Guards against a roll-out under which requests are lost, run twice or refused after they ran: hosts of both builds
  // schedule for each other, hand over jobs to each other, and read each other's rows.
  it('serve requests while one build replaces the other host by host, and is taken back', async () => {
    if (landed === undefined) return
    runs = new Map()
    fleet = await HostFleet.start(HOSTS, FIRST_PORT, answer, ['unsafe'], { program: landed.path })
    for (let index = 0; index < HOSTS; index++) {
      await checkDuring(() => fleet!.replaceHost(index))
      fleet.putConfig(index + 2, [{ prefix: '/unsafe/', kind: 'unsafe' }])
      if (index === 1) await checkLossOfScheduler(undefined)
    }
    await checkDuring(() => fleet!.replaceHost(0, landed!.path))
    await checkLossOfScheduler(landed.path)
    expect([...runs].filter(([, count]) => count > 1)).toEqual([])
  })
})
