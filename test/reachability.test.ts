import { beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '../src/base/index.js'
import { Reachability } from '../src/forward/index.js'

const ADDRESSES = Array.from({ length: 12 }, (_, index) => `10.0.0.${index}:1`)

describe('whether a host can reach servers', () => {
  let now = 0
  let reachable = new Set(ADDRESSES)
  let probed: string[] = []
  let changes: boolean[] = []
  let reachability: Reachability

  beforeEach(() => {
    now = 10_000
    reachable = new Set(ADDRESSES)
    probed = []
    changes = []
    reachability = new Reachability({
      clock: { now: () => now, sleep: () => Promise.resolve() },
      random: new SeededRandom(1),
      listAddresses: () => ADDRESSES,
      probe: address => {
        probed.push(address)
        return Promise.resolve(reachable.has(address))
      },
      onChange: canReachServers => { changes.push(canReachServers) }
    })
  })

  // Guards against: a failed network path of one host counted as a failure of each server that it tried.
  it('is false if connections to other servers fail too', async () => {
    reachable = new Set()
    expect(await reachability.verify(ADDRESSES[0]!)).toEqual(false)
    expect(changes).toEqual([false])
    expect(probed.slice(-1)).toEqual([ADDRESSES[0]!])
  })

  // Guards against: a host that reaches few of the servers went back and forth between its own paths and other hosts.
  it('is true while any of many servers accepts connections', async () => {
    reachable = new Set(ADDRESSES.slice(11))
    for (let i = 0; i < 20; i++) {
      now += 1_000
      expect(await reachability.verify(ADDRESSES[0]!)).toEqual(true)
    }
    expect(changes).toEqual([])
  })

  it('is true while another server accepts connections', async () => {
    reachable = new Set([ADDRESSES[1]!, ADDRESSES[2]!])
    expect(await reachability.verify(ADDRESSES[0]!)).toEqual(true)
    expect(changes).toEqual([])
  })

  it('is known from a connection that was just established', async () => {
    reachable = new Set()
    reachability.recordConnected()
    expect(await reachability.verify(ADDRESSES[0]!)).toEqual(true)
    expect(probed).toEqual([])
  })

  it('is checked once for requests that fail together', async () => {
    reachable = new Set()
    await Promise.all([0, 1, 2].map(index => reachability.verify(ADDRESSES[index]!)))
    expect(probed.length).toEqual(ADDRESSES.length)
  })

  it('is checked while requests are unanswered and no server sends anything', async () => {
    reachable = new Set()
    reachability.recordReceived()
    reachability.checkIfQuiet(ADDRESSES[0]!, 500)
    expect(probed).toEqual([])
    now += 500
    reachability.checkIfQuiet(ADDRESSES[0]!, 100)
    expect(probed).toEqual([])
    reachability.checkIfQuiet(ADDRESSES[0]!, 500)
    expect(await reachability.verify(ADDRESSES[0]!)).toEqual(false)
  })

  // Guards against: a host whose paths are back went on as if it had none.
  it('is checked again until a path is back', async () => {
    reachable = new Set()
    await reachability.verify(ADDRESSES[0]!)
    reachability.tick()
    expect(probed.length).toEqual(ADDRESSES.length)
    reachable = new Set(ADDRESSES)
    now += 500
    reachability.tick()
    expect(await reachability.verify(ADDRESSES[0]!)).toEqual(true)
    expect(changes).toEqual([false, true])
  })
})
