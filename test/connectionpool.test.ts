import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ConnectionPool } from '../src/forward/index.js'
import { computeIdleLimits } from '../src/gateway/idlelimits.js'
import { server } from './jobs.js'
import { RecordedLog } from './recordedlog.js'
import { deployment } from './rig.js'

function deploymentWithLimit (maxConnections: number): ReturnType<typeof deployment> {
  return deployment({
    services: [{ name: 's', maxConnections, kvCacheTokens: undefined, slots: undefined, tokensPerEvent: 1 }]
  })
}

describe('idle connections', () => {
  // Guards against exhausting a server's connections: a burst opens many connections from every host, and the idle ones
  // would then fill the server's connection limit.
  it('leave room within the server limit for those in use, for all hosts together', () => {
    for (const hostCount of [1, 6, 78]) {
      const idleLimit = computeIdleLimits([server('a', { slots: 6 })], deploymentWithLimit(96), hostCount).get('a:1')!
      expect(idleLimit * hostCount + 2 * 6 <= 96).toEqual(true)
    }
    expect(computeIdleLimits([server('a', { slots: 6 })], deploymentWithLimit(96), 6).get('a:1')).toEqual(14)
  })

  it('are kept up to the limit, and closed when it falls or the server is removed', () => {
    const pool = new ConnectionPool(new RecordedLog().logger)
    pool.setIdleLimits(new Map([['127.0.0.1:9', 2]]))
    const connections = [1, 2, 3].map(() => pool.acquire('127.0.0.1:9'))
    for (const connection of connections) pool.release('127.0.0.1:9', connection)
    expect(connections.map(connection => connection.isUsable)).toEqual([true, true, false])
    pool.setIdleLimits(new Map([['127.0.0.1:9', 1]]))
    expect(connections.map(connection => connection.isUsable)).toEqual([true, false, false])
    pool.setIdleLimits(new Map())
    expect(connections[0]!.isUsable).toEqual(false)
  })
})
