import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { QuotaUnit, RetrySafety } from '../src/routing/index.js'
import { RelayedExchange } from '../src/relay/relayedexchange.js'
import { RelayRig } from './relayrig.js'
import { deployment, organisation, respond, route, type Script } from './rig.js'
import { waitFor } from './testhost.js'

const GET = ['GET /a HTTP/1.1', 'x-attempt: a1']
const POST = ['POST /a HTTP/1.1', 'x-attempt: a1']

const DEADLINE_MS = 800

/** Latest time after an event at which its effect is to be seen, in milliseconds. */
const PROMPT_MS = 500

const answer: Script = (_, __, socket) => respond(socket, '200 OK', 'fine', ['x-attempt: a1'])
const ignore: Script = () => undefined

function statusOf (text: string): number {
  return Number(text.split(' ')[1])
}

function deploymentOf (retrySafety: RetrySafety, maxAttempts = 2): ReturnType<typeof deployment> {
  return deployment({ routes: [route({ retrySafety, maxAttempts })] })
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

describe('a request that another host relays', () => {
  let relayRig: RelayRig
  afterEach(async () => { await relayRig.close() })

  function requestCount (): number {
    return relayRig.servers.reduce((sum, { requests }) => sum + requests.length, 0)
  }

  it('reaches the server unchanged, and its response the caller', async () => {
    relayRig = await RelayRig.start(deployment(), [answer])
    const text = await relayRig.rig.request(['POST /a%20b?c=d HTTP/1.1', 'x-attempt: a1', 'x-other: \xe9'], 'body')
    expect([statusOf(text), text.endsWith('fine')]).toEqual([200, true])
    const [received] = relayRig.servers[0]!.requests
    expect(received!.startsWith('POST /a%20b?c=d HTTP/1.1')).toEqual(true)
    expect(received!.endsWith('\r\n\r\nbody')).toEqual(true)
    expect(received!.includes('x-server: server-0')).toEqual(true)
  })

  // Guards against: a relayed request runs on after its caller's deadline, or is handed more time than is left.
  it('ends at its deadline, also at the server', async () => {
    let closedAt = 0
    relayRig = await RelayRig.start(deployment(), [(_, __, socket) => {
      socket.once('close', () => { closedAt = performance.now() })
    }])
    const sentAt = performance.now()
    const text = await relayRig.rig.request([...GET, `x-deadline: ${DEADLINE_MS}`])
    expect(statusOf(text)).toEqual(504)
    expect(performance.now() - sentAt < DEADLINE_MS + PROMPT_MS).toEqual(true)
    await waitFor(() => closedAt > 0)
    expect(closedAt - sentAt < DEADLINE_MS + PROMPT_MS).toEqual(true)
    const statedMs = Number(/x-deadline: (\d+)/.exec(relayRig.servers[0]!.requests[0]!)![1])
    expect(statedMs <= DEADLINE_MS).toEqual(true)
  })

  // Guards against: a server works on for a caller that has left.
  it('is cancelled at the server if the caller leaves', async () => {
    let isClosed = false
    relayRig = await RelayRig.start(deployment(), [(_, __, socket) => socket.once('close', () => { isClosed = true })])
    const caller = await relayRig.rig.connect()
    caller.send(GET)
    await waitFor(() => requestCount() === 1)
    caller.socket.destroy()
    const leftAt = performance.now()
    await waitFor(() => isClosed)
    expect(performance.now() - leftAt < PROMPT_MS).toEqual(true)
    expect(relayRig.hosts[0]!.service.activeRequestCount).toEqual(0)
  })

  // Guards against: a call that may not be repeated runs twice, or is reported as not run, when the relaying host dies.
  it('is not sent again and not reported as not run if the relaying host crashes', async () => {
    relayRig = await RelayRig.start(deploymentOf(RetrySafety.unsafe), [ignore, ignore], 2)
    const response = relayRig.rig.request(POST, 'x')
    await waitFor(() => requestCount() === 1)
    for (const host of relayRig.hosts) if (host.service.activeRequestCount > 0) host.crash()
    expect(statusOf(await response)).toEqual(502)
    expect(requestCount()).toEqual(1)
  })

  // Guards against: a call fails, or runs twice, since the first host that is to relay it cannot reach the servers.
  it('is relayed by another host if the first one did not send it', async () => {
    relayRig = await RelayRig.start(deploymentOf(RetrySafety.unsafe), [answer], 2)
    relayRig.hosts[0]!.isAccepting = false
    expect(statusOf(await relayRig.rig.request(POST, 'x'))).toEqual(200)
    expect(requestCount()).toEqual(1)
  })

  it('is sent again if it may be repeated and the relaying host crashes', async () => {
    let isFirst = true
    relayRig = await RelayRig.start(deployment(), [(request, index, socket) => {
      if (!isFirst) answer(request, index, socket)
      isFirst = false
    }, answer], 2)
    const response = relayRig.rig.request(GET)
    await sleep(100)
    for (const host of relayRig.hosts) if (host.service.activeRequestCount > 0) host.crash()
    expect(statusOf(await response)).toEqual(200)
  })

  // Guards against: repeats by way of other hosts escape the retry budget.
  it('draws on the retry budget when it is sent again', async () => {
    const breakAll: Script = (_, __, socket) => socket.resetAndDestroy()
    relayRig = await RelayRig.start(deployment(), [breakAll, breakAll], 1, rig => {
      rig.retryLimits = { ratio: 0, windowMs: 10_000, slack: 0 }
    })
    expect(statusOf(await relayRig.rig.request(GET))).toEqual(502)
    expect(requestCount()).toEqual(1)
  })

  // Guards against: a request is sent to more servers than its route allows.
  it('counts against the number of sends of its route', async () => {
    const breakAll: Script = (_, __, socket) => socket.resetAndDestroy()
    relayRig = await RelayRig.start(deploymentOf(RetrySafety.safe, 2), [breakAll, breakAll, breakAll])
    expect(statusOf(await relayRig.rig.request(GET))).toEqual(502)
    expect(requestCount()).toEqual(2)
  })

  // Guards against: a request is charged to its organisation's quota for each host that is to relay it.
  it('is charged to the quota once', async () => {
    const organisations = [{ ...organisation('o'), unit: QuotaUnit.requests, ratePerS: 0.001, burst: 4 }]
    const currentDeployment = deployment({ routes: [route({ isPublic: false })], organisations })
    const refuseOne = async (hostCount: number): Promise<number[]> => {
      relayRig = await RelayRig.start(currentDeployment, [answer], hostCount)
      if (hostCount > 1) relayRig.hosts[0]!.isAccepting = false
      const statuses: number[] = []
      for (let i = 0; i < 6; i++) statuses.push(statusOf(await relayRig.rig.request([...GET, 'x-key: key-of-o'])))
      return statuses
    }
    const statuses = await refuseOne(1)
    expect(statuses.includes(200) && statuses.includes(429)).toEqual(true)
    await relayRig.close()
    expect(await refuseOne(2)).toEqual(statuses)
    expect(relayRig.servers[0]!.requests[0]!.includes('x-organisation: o')).toEqual(true)
  })

  // Guards against: a relaying host sends to a server that it knows to drain, or that asked it for a pause.
  it('goes to another server if the relaying host may not use the first', async () => {
    const pause: Script = (_, __, socket) => {
      respond(socket, '503 Busy', '', ['x-attempt: a1', 'X-Not-Run: 1', 'Retry-After: 30'])
    }
    relayRig = await RelayRig.start(deployment(), [pause, answer])
    const [host] = relayRig.hosts
    for (let i = 0; i < 6; i++) expect(statusOf(await relayRig.rig.request(GET))).toEqual(200)
    expect(relayRig.servers[0]!.requests.length).toEqual(1)
    expect(host!.fleet.findUsable('server-0', performance.now())).toEqual(undefined)
    const drainingServer = { ...relayRig.rig.servers[1]!, isDraining: true }
    host!.fleet.apply({ id: drainingServer.id, revision: 2, server: drainingServer }, performance.now())
    const before = relayRig.servers[1]!.requests.length
    expect(statusOf(await relayRig.rig.request(GET))).toEqual(503)
    expect(relayRig.servers[1]!.requests.length).toEqual(before)
  })

  // Guards against: a stopping host drops requests of others, or accepts more of them.
  it('is completed by a relaying host that stops, which takes no more', async () => {
    const answerLate: Script = (request, index, socket) => setTimeout(() => answer(request, index, socket), 300)
    relayRig = await RelayRig.start(deploymentOf(RetrySafety.unsafe), [answerLate], 2)
    const response = relayRig.rig.request(POST, 'x')
    await waitFor(() => requestCount() === 1)
    const stopping = relayRig.hosts.find(({ service }) => service.activeRequestCount > 0)!
    stopping.isAccepting = false
    const [first, second] = await Promise.all([response, relayRig.rig.request(POST, 'x')])
    expect([statusOf(first), statusOf(second)]).toEqual([200, 200])
    expect(stopping.service.activeRequestCount).toEqual(0)
  })

  // Guards against: a request is lost or doubled when the host that read it reaches the servers again.
  it('is completed after the path is back, while others use the path', async () => {
    const answerLate: Script = (request, index, socket) => setTimeout(() => answer(request, index, socket), 300)
    relayRig = await RelayRig.start(deploymentOf(RetrySafety.unsafe), [answerLate])
    const response = relayRig.rig.request(POST, 'x')
    await waitFor(() => requestCount() === 1)
    relayRig.canReachServers = true
    const later = relayRig.rig.request(POST, 'x')
    await waitFor(() => requestCount() === 2)
    expect(relayRig.hosts[0]!.service.activeRequestCount).toEqual(1)
    expect([statusOf(await response), statusOf(await later)]).toEqual([200, 200])
    expect(requestCount()).toEqual(2)
  })
})

describe('the exchange of a relayed request', () => {
  // Guards against: a request is reported as not run though a host that does not reply may have sent it.
  it('counts as sent when it is aborted before the relaying host has replied', () => {
    let sentCount = 0
    const fail = (): never => { throw new Error('no response was expected') }
    const handler = {
      onSent: () => { sentCount++ },
      onReading: fail,
      onHead: fail,
      onBody: fail,
      onEnd: fail,
      onFailure: fail,
      onUnusable: fail,
      onUnsendable: fail
    }
    const connection = { isUsable: true, recordFailure: fail, onFinished: () => undefined }
    const neverReply = (): AsyncIterable<never> => ({
      [Symbol.asyncIterator]: () => ({ next: () => new Promise<never>(() => undefined) })
    })
    new RelayedExchange(connection, neverReply, handler).abort()
    expect(sentCount).toEqual(1)
  })
})
