import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Outcome } from '../src/schedule/index.js'
import { GrantRates } from '../src/schedule/grantrates.js'
import { createScheduler, grantedJobIds, job, refusedJobIds, server } from './jobs.js'

describe('GrantRates', () => {
  it('marks a rank as underserved if it gets far less than the rank above, for a few seconds', () => {
    const rates = new GrantRates()
    for (let i = 0; i < 10; i++) {
      rates.recordResult(1, i < 8, 0)
      rates.recordResult(2, i < 5, 0)
    }
    expect(rates.isUnderserved(2, 0)).toEqual(true)
    expect(rates.isUnderserved(1, 0)).toEqual(false)
    expect(rates.isUnderserved(2, 20_000)).toEqual(false)
  })

  it('tolerates a difference of a tenth, and does not compare with the highest rank', () => {
    const rates = new GrantRates()
    for (let i = 0; i < 20; i++) {
      rates.recordResult(0, true, 0)
      rates.recordResult(1, i < 10, 0)
      rates.recordResult(2, i < 9, 0)
    }
    expect(rates.isUnderserved(1, 0)).toEqual(false)
    expect(rates.isUnderserved(2, 0)).toEqual(false)
  })
})

describe('a load above capacity for some seconds', () => {
  /**
   * Simulates reviews and summaries that arrive faster than one server with a few slots finishes them.
   *
   * @returns the number of jobs by kind and decision
   */
  function simulate (): Map<string, number> {
    const scheduler = createScheduler(server('a', { slots: 4 }))
    const counts = new Map<string, number>()
    const pendingEnds: Array<{ at: number, id: string }> = []
    const recordDecisions = (effects: ReturnType<typeof scheduler.tick>, now: number): void => {
      for (const id of grantedJobIds(effects)) pendingEnds.push({ at: now + (id.startsWith('summary') ? 120 : 900), id })
      for (const id of [...grantedJobIds(effects).map(jobId => `${jobId} placed`), ...refusedJobIds(effects).map(jobId => `${jobId} refused`)]) {
        const kindAndDecision = id.replace(/-\d+/, '')
        counts.set(kindAndDecision, (counts.get(kindAndDecision) ?? 0) + 1)
      }
    }
    for (let now = 0; now < 20_000; now += 25) {
      for (const end of pendingEnds.filter(entry => entry.at <= now)) {
        pendingEnds.splice(pendingEnds.indexOf(end), 1)
        recordDecisions(scheduler.recordEnd(end.id, 'a', Outcome.done, undefined, now), now)
      }
      if (now % 100 === 0) {
        recordDecisions(scheduler.submit(job(`review-${now}`, { rank: 1, arrivedAt: now, objectiveMs: 500 }), now), now)
        recordDecisions(scheduler.submit(job(`summary-${now}`, { rank: 2, arrivedAt: now, objectiveMs: 1_000 }), now), now)
      }
      if (now % 1_000 === 0) {
        recordDecisions(scheduler.submit(job(`affidavit-${now}`, { rank: 0, arrivedAt: now, objectiveMs: 600 }), now), now)
      }
      recordDecisions(scheduler.tick(now), now)
    }
    return counts
  }

  // Guards against starvation of lower ranks: reviews alone would fill the servers, and summaries would get no slots.
  it('grants lower ranks a rate near that of the rank above, without loss for the highest rank', () => {
    const counts = simulate()
    const grantRate = (kind: string): number => {
      const grantedCount = counts.get(`${kind} placed`) ?? 0
      return grantedCount / (grantedCount + (counts.get(`${kind} refused`) ?? 0))
    }
    expect(grantRate('affidavit')).toEqual(1)
    expect(grantRate('review') < 0.6).toEqual(true)
    expect(grantRate('summary') > grantRate('review') - 0.15).toEqual(true)
  })
})
