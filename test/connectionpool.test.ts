import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ConnectionPool } from '../src/forward/index.js'
import { idleBounds } from '../src/gateway/idlebounds.js'
import { server } from './jobs.js'
import { deployment } from './rig.js'

function service (connections: number): ReturnType<typeof deployment> {
  return deployment({
    services: [{ name: 's', maxConnections: connections, kvCacheTokens: undefined, slots: undefined, tokensPerEvent: 1 }]
  })
}

describe('idle connections', () => {
  // Load: a burst opens many connections from every host; idle ones then use up what a server bears.
  it('of all hosts together leave room for those in use', () => {
    for (const hosts of [1, 6, 78]) {
      const kept = idleBounds([server('a', { slots: 6 })], service(96), hosts).get('a:1')!
      expect(kept * hosts + 2 * 6 <= 96).toEqual(true)
    }
    expect(idleBounds([server('a', { slots: 6 })], service(96), 6).get('a:1')).toEqual(14)
  })

  it('are kept up to the bound, and closed when it falls or the server is gone', () => {
    const channels = new ConnectionPool()
    channels.setIdleLimits(new Map([['127.0.0.1:9', 2]]))
    const taken = [1, 2, 3].map(() => channels.acquire('127.0.0.1:9'))
    for (const channel of taken) channels.release('127.0.0.1:9', channel)
    expect(taken.map(channel => channel.isUsable)).toEqual([true, true, false])
    channels.setIdleLimits(new Map([['127.0.0.1:9', 1]]))
    expect(taken.map(channel => channel.isUsable)).toEqual([true, false, false])
    channels.setIdleLimits(new Map())
    expect(taken[0]!.isUsable).toEqual(false)
  })
})
