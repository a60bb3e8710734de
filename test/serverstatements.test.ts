import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { RowsStandin } from '../standins/rows.js'
import { type HostProcess, isReady, killHostProcess, startHostProcess, waitFor } from './hostprocess.js'
import { readServerStatement } from '../src/forward/serverstatement.js'
import { deployment, HEADER_NAMES, respond, Rig, type Script, ScriptedServer } from './rig.js'

/** The users' `drain_ms`, in milliseconds. */
const DRAIN_MS = 2_000

/** How long a server asks for a pause, from when on the users check it, and how many requests they allow then. */
const PAUSE_S = 2
const PAUSE_GRACE_MS = 500
const REQUESTS_DURING_PAUSE = 2

const REQUEST_INTERVAL_MS = 40

/** First port of the host under test. Fixed, since the settings name every port, as on the platform. */
const FIRST_PORT = 28_800

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

describe('a server that speaks of itself in its responses', () => {
  const directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
  let store: RowsStandin
  let host: HostProcess
  let servers: ScriptedServer[] = []

  beforeEach(async () => { store = await RowsStandin.start() })

  afterEach(async () => {
    await killHostProcess(host)
    for (const server of servers) server.close()
    store.close()
  })

  after(() => rmSync(directory, { recursive: true }))

  /** Starts a host with a fast server that runs a script and a slow one, and sends requests at a steady rate. */
  async function sendRequests (script: Script, durationMs: number): Promise<void> {
    const answer = (text: string): string[] => [`Attempt-Id: ${/attempt-id: (\w+)/i.exec(text)?.[1] ?? ''}`, 'Response-Signature: s']
    servers = [
      await ScriptedServer.start(script),
      await ScriptedServer.start((text, _, socket) => setTimeout(() => respond(socket, '200 OK', 'ok', answer(text)), 100))
    ]
    servers.forEach(({ address }, index) => store.put('servers', `i-${index}`, {
      service: 's', address, zone: 'z', version: 'v1', slots: 8, state: 'ready', born: 1
    }))
    store.put('op', 'config', {
      version: 1,
      routes: [{ name: 'r', host: 'a.example', prefix: '/x/', kind: 'safe', timeout_ms: 2000, target_latency_ms: 300, service: 's', max_attempts: 2, public: true }],
      services: [{ name: 's', max_connections: 50 }],
      tenants: [],
      limits: { max_header_bytes: 16384, max_body_bytes: 10000, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
    })
    host = startHostProcess({
      directory, index: 0, firstPort: FIRST_PORT, storeAddress: store.address, budgetSlack: 50, isFirstStart: true
    })
    await waitFor(() => isReady(host))
    const calls: Array<Promise<void>> = []
    for (let i = 0; i < durationMs / REQUEST_INTERVAL_MS; i++) {
      calls.push(call(`a${i}`))
      await sleep(REQUEST_INTERVAL_MS)
    }
    await Promise.all(calls)
  }

  async function call (attemptId: string): Promise<void> {
    const { body } = await request(`http://${host.callerAddress}/x/1`, {
      headers: { host: 'a.example', 'attempt-id': attemptId, 'deadline-ms': '1000' }
    })
    await body.dump()
  }

  // Guards against requests at a server that leaves: it says so in its responses sooner than in the store.
  it('gets no request once drain_ms have passed after it said that it leaves', async () => {
    const arrivals: number[] = []
    await sendRequests((text, _, socket) => {
      arrivals.push(performance.now())
      const id = /attempt-id: (\w+)/i.exec(text)?.[1] ?? ''
      respond(socket, '200 OK', 'ok', [`Attempt-Id: ${id}`, 'Response-Signature: s', 'Server-Leaving: 1'])
    }, DRAIN_MS + 2_000)
    expect(arrivals.length > 0).toEqual(true)
    expect(arrivals.filter(at => at > arrivals[0]! + DRAIN_MS)).toEqual([])
  })

  // Guards against requests at a server that asks for a pause when it turns one away.
  it('gets at most two requests during the pause that it asked for', async () => {
    const arrivals: number[] = []
    await sendRequests((text, _, socket) => {
      arrivals.push(performance.now())
      const id = /attempt-id: (\w+)/i.exec(text)?.[1] ?? ''
      respond(socket, '503 Busy', '', [`Attempt-Id: ${id}`, 'Not-Executed: 1', `Retry-After: ${PAUSE_S}`])
    }, PAUSE_S * 1_000)
    const [pausedAt] = arrivals
    expect(pausedAt !== undefined).toEqual(true)
    const during = arrivals.filter(at => at > pausedAt! + PAUSE_GRACE_MS && at < pausedAt! + PAUSE_S * 1_000)
    expect(during.length <= REQUESTS_DURING_PAUSE).toEqual(true)
  })
})

describe('a service whose servers all ask for a pause', () => {
  // Guards against callers that wait in vain: all servers ask for a pause, and nothing can run before it ends.
  it('refuses callers at once, and says when to come back', async () => {
    const { rig: rigWithOne } = await Rig.start(deployment(), (_, __, socket) => {
      respond(socket, '503 Busy', '', ['X-Not-Run: 1', 'Retry-After: 30'])
    })
    try {
      await rigWithOne.request(['GET / HTTP/1.1', 'X-Deadline: 2000'])
      const startedAt = performance.now()
      const text = await rigWithOne.request(['GET / HTTP/1.1', 'X-Deadline: 2000'])
      expect(performance.now() - startedAt).toBeLessThan(100)
      expect(text).toMatchRegex(/^HTTP\/1.1 503 /)
      expect(Number(/retry-after: ([\d.]+)/i.exec(text)?.[1])).toBeGreaterThan(25)
    } finally {
      await rigWithOne.close()
    }
  })
})

describe('readServerStatement', () => {
  it('reads a pause from a 503 only, and ignores malformed values', () => {
    const read = (status: number, value: string): number | undefined =>
      readServerStatement(status, ['Retry-After', value], HEADER_NAMES).pauseMs
    expect([read(503, '2'), read(503, '0.25'), read(429, '2'), read(200, '2')]).toEqual([2_000, 250, undefined, undefined])
    expect(['-1', 'soon', '', 'Fri, 04 Dec 2026 12:00:00 GMT'].filter(value => read(503, value) !== undefined)).toEqual([])
  })

  it('reads that a server leaves from any status', () => {
    expect([200, 503].map(status => readServerStatement(status, ['X-Leaving', '1'], HEADER_NAMES).isLeaving)).toEqual([true, true])
    expect(readServerStatement(200, ['X-Leaving', '0'], HEADER_NAMES).isLeaving).toEqual(false)
  })
})
