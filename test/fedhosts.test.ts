import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { answer, HostFleet, sleep } from './hostfleet.js'
import { type HostProcess, killHostProcess, waitFor } from './hostprocess.js'

/** Enough hosts for a deployment in which the scheduler feeds some of them. */
const HOSTS = 16

/** First port of the hosts under test. */
const FIRST_PORT = 29_500

/** The users' time within which a change of the configuration takes effect in their large deployments. */
const CONFIG_APPLY_MS = 3_000

const POLL_MS = 50

describe('a deployment whose scheduler feeds most hosts', () => {
  let fleet: HostFleet
  let version = 1
  before(async () => { fleet = await HostFleet.start(HOSTS, FIRST_PORT, answer, ['safe']) })
  after(async () => { await fleet.close() })

  function liveHosts (): HostProcess[] {
    return fleet.hosts.filter(host => host.process.signalCode === null)
  }

  /** Writes a configuration with a new route, and returns the time until each live host serves it. */
  async function timeUntilInForce (): Promise<number> {
    const prefix = `/v${++version}/`
    fleet.putConfig(version, [{ prefix: '/safe/', kind: 'safe' }, { prefix, kind: 'safe' }])
    const writtenAt = performance.now()
    await Promise.all(liveHosts().map(async host => {
      for (;;) {
        const [status] = await fleet.callAtRate(host, prefix, 1, 0)
        if (status === 200 || performance.now() - writtenAt > 2 * CONFIG_APPLY_MS) return
        await sleep(POLL_MS)
      }
    }))
    return performance.now() - writtenAt
  }

  it('has hosts that do not follow the store', async () => {
    await waitFor(() => fleet.hosts.some(host => host.output.includes('"isFed":true')))
  })

  // Guards against CONFIG: most hosts learn of a change only from the scheduler.
  it('applies a change everywhere in time', async () => {
    expect(await timeUntilInForce() < CONFIG_APPLY_MS).toEqual(true)
  })

  // Guards against CONFIG: the hosts that follow the store are lost one after the other, first the scheduler.
  it('applies a change everywhere in time after the loss of each of several schedulers', async () => {
    for (let lost = 0; lost < 3; lost++) {
      const first = liveHosts()[0]!
      const scheduler = Number(/host-(\d+)/.exec(first.output.match(/"scheduler":"host-\d+"/g)!.at(-1)!)![1])
      await killHostProcess(fleet.hosts[scheduler]!)
      expect(await timeUntilInForce() < CONFIG_APPLY_MS).toEqual(true)
      await sleep(500)
    }
  })

  // Guards against a host that starts and waits for a feed without following the store.
  it('serves at once on hosts that start again', async () => {
    for (const [index, host] of fleet.hosts.entries()) {
      if (host.process.signalCode !== null) await fleet.restartHost(index)
    }
    expect(await timeUntilInForce() < CONFIG_APPLY_MS).toEqual(true)
  })
})
