import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Fleet } from '../src/fleet/index.js'
import { server } from './jobs.js'

describe('the fleet', () => {
  // Load: every server of a large fleet writes its row each second or so, and all hosts read all rows.
  it('tells heartbeats from what changes where work may go', () => {
    const fleet = new Fleet()
    const alive = server('a')
    expect(fleet.apply({ id: 'a', revision: 1, server: alive }, 0)).toEqual(true)
    expect(fleet.apply({ id: 'a', revision: 2, server: { ...alive, coldMs: 9 } }, 1)).toEqual(false)
    for (const change of [{ isDraining: true }, { born: 2 }, { address: 'b:1' }, { slots: 3 }, { version: 'w' }]) {
      const other = new Fleet()
      other.apply({ id: 'a', revision: 1, server: alive }, 0)
      expect(other.apply({ id: 'a', revision: 2, server: { ...alive, ...change } }, 1)).toEqual(true)
    }
    expect(fleet.apply({ id: 'a', revision: 3, server: { ...alive, isDraining: true } }, 2)).toEqual(true)
    expect(fleet.apply({ id: 'a', revision: 4, server: undefined }, 3)).toEqual(true)
    expect(fleet.apply({ id: 'a', revision: 5, server: alive }, 4)).toEqual(true)
    expect(fleet.findUsable('a', 4)).toEqual(alive)
  })

  it('takes no news that is older than what it knows', () => {
    const fleet = new Fleet()
    fleet.apply({ id: 'a', revision: 5, server: server('a', { isDraining: true }) }, 0)
    expect(fleet.apply({ id: 'a', revision: 4, server: server('a') }, 1)).toEqual(false)
    expect(fleet.findUsable('a', 1)).toEqual(undefined)
  })
})
