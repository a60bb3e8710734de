import { beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '../src/base/index.js'
import { Reachability } from '../src/forward/index.js'

const ADDRESSES = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1']

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
    expect(probed.includes(ADDRESSES[0]!)).toEqual(false)
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
    expect(probed.length).toEqual(3)
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
    expect(probed.length).toEqual(3)
    reachable = new Set(ADDRESSES)
    now += 500
    reachability.tick()
    expect(await reachability.verify(ADDRESSES[0]!)).toEqual(true)
    expect(changes).toEqual([false, true])
  })
})
