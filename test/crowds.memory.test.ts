import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { residentBytes, socketUse } from '../standins/procfs.js'
import {
  type Behaviour, bodyInChunks, bodyInPieces, Crowd, endlessBody, partialHead, unreadRequests, wholeBody
} from './crowd.js'
import { answer, answerHeaders, HostFleet, sleep } from './hostfleet.js'
import { waitFor } from './hostprocess.js'
import { sendRaw } from './rawcaller.js'
import { respond, type Script } from './scriptedserver.js'

/** First port of the hosts under test. */
const FIRST_PORT = 31_000

/** Memory that the platform states for the process, in MB; the least of the users' machines has 178. */
const MEMORY_MB = 178

/** Descriptors that the platform states for the process. */
const MAX_FDS = 800

/** Longest body of a request, in bytes; a quarter of the platform's, so that a small crowd is enough. */
const MAX_BODY_BYTES = 1 << 20

/** Interval at which memory and descriptors are sampled, in milliseconds. */
const SAMPLE_INTERVAL_MS = 20

/** Time for which the crowd's connections stay open after all was sent, in milliseconds. */
const HOLD_MS = 1_000

/** Time after which a crowd that is not done is not waited for, in milliseconds. */
const CROWD_LIMIT_MS = 30_000

/** Time in which what a crowd held is released after its connections have ended, in milliseconds. */
const CALM_MS = 1_500

/** A response that does not fit into the buffers of a connection. */
const LARGE_BODY = 'x'.repeat(1 << 20)

/** Service of each route, with a server of its own. */
const SERVICES: Readonly<Record<string, string>> = { safe: 's', silent: 's2', large: 's3' }

/** Requests of `/silent/` get no response, those of `/large/` a large one. */
const respondByRoute: Script = (request, index, socket) => {
  const path = request.split(' ')[1]!
  if (path.startsWith('/large/')) respond(socket, '200 OK', LARGE_BODY, answerHeaders(request))
  else if (!path.startsWith('/silent/')) answer(request, index, socket)
}

const CASES: ReadonlyArray<readonly [name: string, count: number, behaviour: Behaviour]> = [
  ['bodies at once that stop short of their end', 240, wholeBody('/safe/1', MAX_BODY_BYTES, 1)],
  ['bodies piece by piece that stop short of their end', 240, bodyInPieces('/safe/1', MAX_BODY_BYTES, 32, 20)],
  ['bodies in large chunks without the last', 240, bodyInChunks('/safe/1', MAX_BODY_BYTES, 60_000)],
  ['bodies in very small chunks without the last', 120, bodyInChunks('/safe/1', 100_000, 1)],
  ['announced bodies far over the limit', 240, endlessBody('/safe/1', 'Content-Length: 1000000000', 16 << 20)],
  ['chunked bodies far over the limit', 240, endlessBody('/safe/1', 'Transfer-Encoding: chunked', 16 << 20)],
  ['bodies of unknown routes', 240, endlessBody('/none/1', 'Transfer-Encoding: chunked', 16 << 20)],
  ['heads that do not end', 700, partialHead(60_000)],
  ['connections without a request', 1_500, async () => undefined],
  ['whole bodies that wait for a server', 240, wholeBody('/silent/1', MAX_BODY_BYTES, 0)],
  ['responses that are not read', 240, unreadRequests('/large/1', 2)],
  ['requests one after another without reading', 60, unreadRequests('/silent/1', 1_000)]
]

describe('a crowd of callers that do not behave', { timeout: 120_000 }, () => {
  let fleet: HostFleet
  afterEach(() => fleet.close())

  async function statusOf (id: string, bodyBytes: number): Promise<string> {
    const body = { text: 'x'.repeat(bodyBytes), untilLast: Promise.resolve() }
    const { text } = await sendRaw(fleet.hosts[0]!.callerAddress, { target: `/safe/${id}`, attemptId: id, body })
    return text.split(' ')[1] ?? 'no response'
  }

  for (const [index, [name, count, behaviour]] of CASES.entries()) {
    // Guards against the end of the process for want of memory or descriptors, and callers that get no response.
    it(`does not exhaust the process: ${name}`, async () => {
      fleet = await HostFleet.start(1, FIRST_PORT + 10 * index, respondByRoute, [], {
        limits: { memoryMb: MEMORY_MB, maxFds: MAX_FDS }, maxBodyBytes: MAX_BODY_BYTES
      })
      fleet.putConfig(2, Object.entries(SERVICES).map(([route, service]) => ({
        prefix: `/${route}/`, kind: 'safe', service, timeoutMs: route === 'safe' ? 1_500 : 20_000
      })))
      Object.values(SERVICES).forEach((service, server) => { fleet.putServer(server, 'ready', service) })
      await waitFor(async () => (await fleet.callAll('/safe/', 1, 1)).flat().every(status => status === 200))
      const { process: child } = fleet.hosts[0]!
      const peak = { bytes: 0, descriptors: 0 }
      const sampling = setInterval(() => {
        if (child.exitCode !== null || child.signalCode !== null) return
        const { descriptors, unreadBytes } = socketUse(child.pid!)
        peak.bytes = Math.max(peak.bytes, residentBytes(child.pid!) + unreadBytes)
        peak.descriptors = Math.max(peak.descriptors, descriptors)
      }, SAMPLE_INTERVAL_MS)
      const crowd = await Crowd.start(fleet.hosts[0]!.callerAddress, count, behaviour, CROWD_LIMIT_MS)
      await sleep(HOLD_MS)
      const statusBeside = await statusOf('beside', 100)
      crowd.close()
      await sleep(CALM_MS)
      const statusInCalm = await statusOf('calm', MAX_BODY_BYTES)
      clearInterval(sampling)
      process.stderr.write(`${name}: ${Math.round(peak.bytes / 2 ** 20)} MB, ${peak.descriptors} descriptors\n`)
      expect([child.exitCode, child.signalCode, statusBeside, statusInCalm]).toEqual([null, null, '200', '200'])
      expect(peak.bytes).toBeLessThan(MEMORY_MB * 2 ** 20)
      expect(peak.descriptors).toBeLessThan(MAX_FDS)
    })
  }
})
