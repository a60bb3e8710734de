import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answerHeaders, HostFleet, sleep } from './hostfleet.js'
import { Cut, severHost } from './hostprocess.js'
import { respond, type Script } from './scriptedserver.js'

/** Time after the start of a cut from which the users compare hosts (their `contact_ms`), in milliseconds. */
const CONTACT_MS = 3_000

/** Share of what the other hosts serve that a host without paths to the servers is to serve at least. */
const SERVED_SHARE = 2 / 3

const REQUEST_INTERVAL_MS = 20
const REQUESTS = 60

const HOSTS = 3

/** First port of the hosts under test. */
const FIRST_PORT = 28_900

/** A server closes a connection after so many responses. */
const RESPONSES_PER_CLOSE = 5

const answer: Script = (text, index, socket) => {
  const connection = index % RESPONSES_PER_CLOSE === 0 ? 'Connection: close' : 'Keep-Alive: timeout=30'
  setTimeout(() => respond(socket, '200 OK', 'ok', [...answerHeaders(text), connection]), 20)
}

function countServed (statuses: readonly number[]): number {
  return statuses.filter(status => status === 200).length
}

describe('a host that is cut off from all servers', () => {
  let fleet: HostFleet
  afterEach(async () => { await fleet.close() })

  for (const cut of [Cut.silent, Cut.reset, Cut.refuse]) {
    // Guards against RECOVER: callers of hosts without paths to the servers were refused, and the failures of these
    // hosts kept the servers from those of other hosts too.
    it(`serves its callers nearly as often as the others do (${cut} connections)`, async () => {
      fleet = await HostFleet.start(HOSTS, FIRST_PORT, answer, ['safe', 'unsafe'])
      const [cutHost, ...others] = fleet.hosts
      await fleet.callAll('/safe/', REQUESTS, REQUEST_INTERVAL_MS)
      await severHost(cutHost!, fleet.serverAddresses, cut)
      await Promise.all([sleep(CONTACT_MS), fleet.callAll('/safe/', REQUESTS, REQUEST_INTERVAL_MS)])
      for (const prefix of ['/safe/', '/unsafe/']) {
        const statuses = await fleet.callAll(prefix, REQUESTS, REQUEST_INTERVAL_MS)
        const [served, ...servedByOthers] = statuses.map(countServed)
        expect(servedByOthers).toEqual(others.map(() => REQUESTS))
        expect(served! >= SERVED_SHARE * REQUESTS).toEqual(true)
      }
      await severHost(cutHost!, [], undefined)
      await sleep(1_000)
      expect(countServed(await fleet.callAtRate(cutHost!, '/unsafe/', REQUESTS, REQUEST_INTERVAL_MS))).toEqual(REQUESTS)
    })
  }
})
