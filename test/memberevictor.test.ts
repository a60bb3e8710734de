import { describe, it } from 'node:test'
import { expect } from 'earl'
import { MemberEvictor } from '../src/gateway/index.js'

describe('eviction of absent members', () => {
  const members = ['a', 'b', 'c'].map(host => ({ host, address: '', cores: 1 }))

  /**
   * @param observations - times in milliseconds, each with the hosts that are linked then
   * @returns the members that are removed, in order
   */
  function removedAfter (observations: ReadonlyArray<readonly [number, string[]]>): string[] {
    const removed: string[] = []
    const evictor = new MemberEvictor()
    const membership = { list: () => members, remove: async (host: string) => { removed.push(host) } }
    for (const [now, linkedHosts] of observations) evictor.evictAbsent(membership, new Set(linkedHosts), now)
    return removed
  }

  it('removes a member that stays without a link for longer than the timeout', () => {
    expect(removedAfter([[0, ['a', 'b']], [9_000, ['a', 'b']], [10_100, ['a', 'b']]])).toEqual(['c'])
  })

  // Guards against evicting live members: a host schedules for itself right after it starts and whenever the scheduler
  // is unreachable. Other hosts have no link to it then, which does not show that they are absent.
  it('ignores absences from before the host stopped scheduling for the others', () => {
    const removed: string[] = []
    const evictor = new MemberEvictor()
    const membership = { list: () => members, remove: async (host: string) => { removed.push(host) } }
    evictor.evictAbsent(membership, new Set(['a']), 0)
    evictor.reset()
    evictor.evictAbsent(membership, new Set(['a']), 12_000)
    expect(removed).toEqual([])
  })

  it('keeps a member that was linked in between', () => {
    expect(removedAfter([[0, ['a', 'b']], [9_000, ['a', 'b', 'c']], [10_100, ['a', 'b']], [18_000, ['a', 'b']]])).toEqual([])
  })
})
