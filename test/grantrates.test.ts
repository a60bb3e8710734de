import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Outcome } from '../src/schedule/index.js'
import { GrantRates } from '../src/schedule/grantrates.js'
import { granted, job, refused, schedulerOf, server } from './jobs.js'

describe('shares of ranks', () => {
  it('call a rank short that gets far less than the rank above it, and forget in seconds', () => {
    const shares = new GrantRates()
    for (let i = 0; i < 10; i++) {
      shares.recordResult(1, i < 8, 0)
      shares.recordResult(2, i < 5, 0)
    }
    expect(shares.isUnderserved(2, 0)).toEqual(true)
    expect(shares.isUnderserved(1, 0)).toEqual(false)
    expect(shares.isUnderserved(2, 20_000)).toEqual(false)
  })

  it('let a rank yield first, by a tenth, and never call it short beside the highest rank', () => {
    const shares = new GrantRates()
    for (let i = 0; i < 20; i++) {
      shares.recordResult(0, true, 0)
      shares.recordResult(1, i < 10, 0)
      shares.recordResult(2, i < 9, 0)
    }
    expect(shares.isUnderserved(1, 0)).toEqual(false)
    expect(shares.isUnderserved(2, 0)).toEqual(false)
  })
})

describe('a load over capacity for seconds', () => {
  /** Plays reviews and summaries that come faster than one server with a few places ends them. */
  function play (): Map<string, number> {
    const scheduler = schedulerOf(server('a', { slots: 4 }))
    const counts = new Map<string, number>()
    const ends: Array<{ at: number, id: string }> = []
    const take = (effects: ReturnType<typeof scheduler.tick>, now: number): void => {
      for (const id of granted(effects)) ends.push({ at: now + (id.startsWith('summary') ? 120 : 900), id })
      for (const id of [...granted(effects).map(each => `${each} placed`), ...refused(effects).map(each => `${each} refused`)]) {
        const what = id.replace(/-\d+/, '')
        counts.set(what, (counts.get(what) ?? 0) + 1)
      }
    }
    for (let now = 0; now < 20_000; now += 25) {
      for (const end of ends.filter(each => each.at <= now)) {
        ends.splice(ends.indexOf(end), 1)
        take(scheduler.recordEnd(end.id, 'a', Outcome.done, undefined, now), now)
      }
      if (now % 100 === 0) {
        take(scheduler.submit(job(`review-${now}`, { rank: 1, arrivedAt: now, objectiveMs: 500 }), now), now)
        take(scheduler.submit(job(`summary-${now}`, { rank: 2, arrivedAt: now, objectiveMs: 1_000 }), now), now)
      }
      if (now % 1_000 === 0) {
        take(scheduler.submit(job(`affidavit-${now}`, { rank: 0, arrivedAt: now, objectiveMs: 600 }), now), now)
      }
      take(scheduler.tick(now), now)
    }
    return counts
  }

  // Load: filing night. Reviews alone would fill the servers, and short summaries would get nothing.
  it('gives lower ranks a share near that of the rank above, and takes nothing from the highest', () => {
    const counts = play()
    const share = (name: string): number => {
      const placed = counts.get(`${name} placed`) ?? 0
      return placed / (placed + (counts.get(`${name} refused`) ?? 0))
    }
    expect(share('affidavit')).toEqual(1)
    expect(share('review') < 0.6).toEqual(true)
    expect(share('summary') > share('review') - 0.15).toEqual(true)
  })
})
