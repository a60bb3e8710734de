import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Fleet } from '../src/fleet/index.js'
import { server } from './jobs.js'

describe('Fleet', () => {
  // Guards against needless work: every server of a large fleet writes its row about once a second, and all hosts read
  // all rows. Only rows that change where requests may go need to be propagated.
  it('distinguishes heartbeats from changes that affect scheduling', () => {
    const fleet = new Fleet()
    const healthyServer = server('a')
    expect(fleet.apply({ id: 'a', revision: 1, server: healthyServer }, 0)).toEqual(true)
    expect(fleet.apply({ id: 'a', revision: 2, server: { ...healthyServer, coldMs: 9 } }, 1)).toEqual(false)
    for (const change of [{ isDraining: true }, { born: 2 }, { address: 'b:1' }, { slots: 3 }, { version: 'w' }]) {
      const otherFleet = new Fleet()
      otherFleet.apply({ id: 'a', revision: 1, server: healthyServer }, 0)
      expect(otherFleet.apply({ id: 'a', revision: 2, server: { ...healthyServer, ...change } }, 1)).toEqual(true)
    }
    expect(fleet.apply({ id: 'a', revision: 3, server: { ...healthyServer, isDraining: true } }, 2)).toEqual(true)
    expect(fleet.apply({ id: 'a', revision: 4, server: undefined }, 3)).toEqual(true)
    expect(fleet.apply({ id: 'a', revision: 5, server: healthyServer }, 4)).toEqual(true)
    expect(fleet.findUsable('a', 4)).toEqual(healthyServer)
  })

  it('ignores revisions older than the latest known one', () => {
    const fleet = new Fleet()
    fleet.apply({ id: 'a', revision: 5, server: server('a', { isDraining: true }) }, 0)
    expect(fleet.apply({ id: 'a', revision: 4, server: server('a') }, 1)).toEqual(false)
    expect(fleet.findUsable('a', 1)).toEqual(undefined)
  })
})
