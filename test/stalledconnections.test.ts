import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answer, HostFleet, sleep } from './hostfleet.js'
import { Cut, severHost } from './hostprocess.js'

/** Time between the stall and the changes, in milliseconds, as on the users' days severed and unanswered. */
const CHANGES_AFTER_MS = 4_500

/** The users' `config_apply_ms` and `drain_ms`, in milliseconds. */
const CONFIG_APPLY_MS = 2_000
const DRAIN_MS = 2_000

const REQUEST_INTERVAL_MS = 50
const REQUESTS = 30

const HOSTS = 3

/** First port of the hosts under test. */
const FIRST_PORT = 29_000

describe('hosts whose open connections stall while new ones work', () => {
  let fleet: HostFleet
  afterEach(async () => { await fleet.close() })

  const stalledAddresses = {
    'to other hosts': () => fleet.hosts.flatMap(({ linkAddresses }) => linkAddresses),
    'to the store': () => [fleet.store.address]
  }

  for (const [name, list] of Object.entries(stalledAddresses)) {
    // Guards against CONFIG and DRAIN on the users' days severed and unanswered: a change is missed since the
    // connection that would bring it says nothing for good, without a reset.
    it(`apply a configuration and leave a draining server in time (connections ${name})`, async () => {
      fleet = await HostFleet.start(HOSTS, FIRST_PORT, answer, ['safe'])
      const allServed = Array.from({ length: HOSTS }, () => new Array(REQUESTS).fill(200))
      expect(await fleet.callAll('/safe/', REQUESTS, REQUEST_INTERVAL_MS)).toEqual(allServed)
      for (const host of fleet.hosts) await severHost(host, list(), Cut.stall)
      const statuses = await fleet.callAll('/safe/', CHANGES_AFTER_MS / REQUEST_INTERVAL_MS, REQUEST_INTERVAL_MS)
      expect(statuses.flat().filter(status => status !== 200)).toEqual([])
      fleet.putConfig(2, [{ prefix: '/safe/', kind: 'safe' }, { prefix: '/new/', kind: 'safe' }])
      fleet.putServer(0, 'draining')
      await sleep(Math.max(CONFIG_APPLY_MS, DRAIN_MS))
      const before = fleet.servers[0]!.requests.length
      expect(await fleet.callAll('/new/', REQUESTS, REQUEST_INTERVAL_MS)).toEqual(allServed)
      expect(fleet.servers[0]!.requests.length).toEqual(before)
    })
  }
})
