import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Absence } from '../src/gateway/index.js'

describe('members that are gone', () => {
  const members = ['a', 'b', 'c'].map(host => ({ host, address: '', cores: 1 }))

  function lookAt (times: ReadonlyArray<readonly [number, string[]]>): string[] {
    const removed: string[] = []
    const absence = new Absence()
    const membership = { list: () => members, remove: async (host: string) => { removed.push(host) } }
    for (const [now, linked] of times) absence.look(membership, new Set(linked), now)
    return removed
  }

  it('are removed after long absence', () => {
    expect(lookAt([[0, ['a', 'b']], [9_000, ['a', 'b']], [10_100, ['a', 'b']]])).toEqual(['c'])
  })

  // Each host schedules for itself in its first moments, and again whenever the scheduler is out of reach.
  it('are not told by a host that was not asked by others all the while', () => {
    const removed: string[] = []
    const absence = new Absence()
    const membership = { list: () => members, remove: async (host: string) => { removed.push(host) } }
    absence.look(membership, new Set(['a']), 0)
    absence.forget()
    absence.look(membership, new Set(['a']), 12_000)
    expect(removed).toEqual([])
  })

  it('are kept if they were linked in between', () => {
    expect(lookAt([[0, ['a', 'b']], [9_000, ['a', 'b', 'c']], [10_100, ['a', 'b']], [18_000, ['a', 'b']]])).toEqual([])
  })
})
