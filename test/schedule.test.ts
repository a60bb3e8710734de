import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Outcome, Refusal } from '../src/schedule/index.js'
import { granted, job, refused, schedulerOf, server } from './jobs.js'

describe('the order of the line', () => {
  it('is by the rank of the organisation, then of the route, then by whose objective passes first', () => {
    const scheduler = schedulerOf(server('a'))
    scheduler.submit(job('first'), 0)
    scheduler.submit(job('late', { rank: 1, objectiveMs: 900 }), 0)
    scheduler.submit(job('soon', { rank: 1, objectiveMs: 500 }), 0)
    scheduler.submit(job('top', { rank: 0 }), 0)
    scheduler.submit(job('other', { organisationRank: 1, rank: 0 }), 0)
    const order: string[] = []
    let last = 'first'
    for (let i = 0; i < 4; i++) {
      last = granted(scheduler.recordEnd(last, 'a', Outcome.done, undefined, 1))[0]!
      order.push(last)
    }
    expect(order).toEqual(['top', 'soon', 'late', 'other'])
  })

  // Load: filing night, every place taken, a flood of summaries before an affidavit.
  it('gives the next free place to the highest rank however many others wait', () => {
    const scheduler = schedulerOf(server('a'))
    scheduler.submit(job('running'), 0)
    for (let i = 0; i < 50; i++) scheduler.submit(job(`summary-${i}`, { rank: 2 }), 0)
    scheduler.submit(job('affidavit', { rank: 0, arrivedAt: 10 }), 10)
    expect(granted(scheduler.recordEnd('running', 'a', Outcome.done, undefined, 20))).toEqual(['affidavit'])
  })
})

describe('a burst that is over capacity', () => {
  // Load: traffic doubles for seconds; callers that were refused come back among those that come for the first time.
  it('gives places to callers that can still be on time before those that are late already', () => {
    const scheduler = schedulerOf(server('a'))
    scheduler.submit(job('running'), 0)
    scheduler.submit(job('back', { objectiveAt: 5, arrivedAt: 10 }), 10)
    scheduler.submit(job('new', { arrivedAt: 20 }), 20)
    expect(granted(scheduler.recordEnd('running', 'a', Outcome.done, undefined, 30))).toEqual(['new'])
    expect(granted(scheduler.recordEnd('new', 'a', Outcome.done, undefined, 40))).toEqual(['back'])
  })
})

describe('a long prompt', () => {
  /** Teaches the pace of a slow server and leaves one stream running there. */
  function withStreamOnSlow (): ReturnType<typeof schedulerOf> {
    const scheduler = schedulerOf(server('slow', { slots: 9 }))
    scheduler.submit(job('learn', { promptTokens: 4_000 }), 0)
    scheduler.recordFirstEvent('learn', 'slow', 200)
    scheduler.recordEnd('learn', 'slow', Outcome.done, 60, 200)
    scheduler.submit(job('stream', { promptTokens: 100 }), 200)
    scheduler.recordFirstEvent('stream', 'slow', 210)
    return scheduler
  }

  // Load: long affidavits among many running reviews, on engines of unlike speed.
  it('does not go where it would hold up running streams beyond their pause', () => {
    const scheduler = withStreamOnSlow()
    const long = job('long', { promptTokens: 8_000, arrivedAt: 220 })
    expect(granted(scheduler.submit(long, 220))).toEqual([])
    scheduler.setServers([server('slow', { slots: 9 }), server('fast', { slots: 9 })])
    expect(scheduler.tick(230)).toEqual([{ kind: 'grant', job: 'long', server: 'fast' }])
  })

  it('goes there at once if only streams of lower ranks are held up', () => {
    const scheduler = withStreamOnSlow()
    expect(granted(scheduler.submit(job('report', { rank: 0, promptTokens: 8_000, arrivedAt: 220 }), 220))).toEqual(['report'])
  })

  it('goes there once it has waited for a good part of its objective', () => {
    const scheduler = withStreamOnSlow()
    scheduler.submit(job('long', { promptTokens: 8_000, arrivedAt: 220 }), 220)
    expect(granted(scheduler.tick(500))).toEqual(['long'])
  })
})

describe('a long answer', () => {
  // Load: affidavits of thousands of tokens, whose callers wait for 12 s, on engines of unlike speed.
  it('goes to a server that can finish it in time', () => {
    const scheduler = schedulerOf(server('slow', { slots: 9 }), server('fast', { slots: 9 }))
    for (const [name, stepMs] of [['slow', 70], ['fast', 14]] as const) {
      scheduler.submit(job(`learn-${name}`, { excludedServers: [name === 'slow' ? 'fast' : 'slow'] }), 0)
      scheduler.recordEnd(`learn-${name}`, name, Outcome.done, stepMs, 10)
    }
    for (let i = 0; i < 3; i++) {
      const long = job(`long-${i}`, { expectedEvents: 500, arrivedAt: 20, deadlineAt: 12_020 })
      expect(scheduler.submit(long, 20)).toEqual([{ kind: 'grant', job: long.id, server: 'fast' }])
    }
  })

  it('waits a little for one rather than begin where it would not be finished', () => {
    const scheduler = schedulerOf(server('slow', { slots: 9 }))
    scheduler.submit(job('learn'), 0)
    scheduler.recordEnd('learn', 'slow', Outcome.done, 70, 10)
    expect(granted(scheduler.submit(job('long', { expectedEvents: 500, arrivedAt: 20 }), 20))).toEqual([])
    expect(granted(scheduler.tick(200))).toEqual(['long'])
  })
})

describe('a refusal', () => {
  it('comes for lower ranks while their callers still have time, and says when to come back', () => {
    const scheduler = schedulerOf(server('a'))
    scheduler.submit(job('running'), 0)
    scheduler.submit(job('waiting', { rank: 2 }), 0)
    expect(scheduler.tick(299)).toEqual([])
    const effects = scheduler.tick(301)
    expect(refused(effects)).toEqual(['waiting'])
    const [refusal] = effects
    expect(refusal?.kind === 'refuse' && refusal.retryAfterMs > 0 && refusal.retryAfterMs < 12_000 / 3).toEqual(true)
  })

  // A caller that came back has little time left, and should not spend it in a line.
  it('comes sooner for callers with less time', () => {
    const scheduler = schedulerOf(server('a'))
    scheduler.submit(job('running'), 0)
    scheduler.submit(job('back', { rank: 2, objectiveMs: 1_500, deadlineAt: 1_000 }), 0)
    expect(refused(scheduler.tick(251))).toEqual(['back'])
  })

  // Right after a start requests come before the list of servers does.
  it('for want of any server comes only after the same wait', () => {
    const scheduler = schedulerOf()
    expect(scheduler.submit(job('a'), 0)).toEqual([])
    scheduler.submit(job('b'), 0)
    const effects = scheduler.tick(301)
    expect(effects.map(effect => effect.kind === 'refuse' && effect.reason)).toEqual([Refusal.noServer, Refusal.noServer])
    scheduler.submit(job('c', { arrivedAt: 400 }), 400)
    scheduler.setServers([server('a')])
    expect(granted(scheduler.tick(410))).toEqual(['c'])
  })
})

describe('places', () => {
  it('are never more than a server runs at once', () => {
    const scheduler = schedulerOf(server('a', { slots: 2 }), server('b', { slots: 3 }))
    const all = Array.from({ length: 9 }, (_, at) => granted(scheduler.submit(job(`j${at}`), 0))).flat()
    expect(all.length).toEqual(5)
  })

  it('go to the server that reads a long prompt soonest', () => {
    const scheduler = schedulerOf(server('fast', { slots: 9 }), server('slow', { slots: 9 }))
    for (const [name, firstMs] of [['fast', 60], ['slow', 300]] as const) {
      const other = name === 'fast' ? 'slow' : 'fast'
      const first = job(`learn-${name}`, { promptTokens: 6_000, excludedServers: [other] })
      scheduler.submit(first, 0)
      scheduler.recordFirstEvent(first.id, name, firstMs)
      scheduler.recordEnd(first.id, name, Outcome.done, 20, firstMs)
    }
    expect(scheduler.submit(job('long', { promptTokens: 20_000 }), 400)).toEqual([{ kind: 'grant', job: 'long', server: 'fast' }])
  })

  it('are not given at a server that can not be reached, and one at a time after it', () => {
    const scheduler = schedulerOf(server('a', { slots: 4 }))
    scheduler.submit(job('lost'), 0)
    scheduler.recordEnd('lost', 'a', Outcome.unreachable, undefined, 10)
    expect(granted(scheduler.submit(job('x', { rank: 0 }), 20))).toEqual([])
    expect(granted(scheduler.submit(job('y', { rank: 0 }), 300))).toEqual(['x'])
    expect(granted(scheduler.recordEnd('x', 'a', Outcome.done, undefined, 310))).toEqual(['y'])
  })

  it('of jobs that a lost host had are free again', () => {
    const scheduler = schedulerOf(server('a'))
    scheduler.submit(job('h1/1'), 0)
    scheduler.submit(job('h2/1'), 0)
    scheduler.dropJobs(id => id.startsWith('h1/'))
    expect(granted(scheduler.tick(1))).toEqual(['h2/1'])
  })
})

describe('a request that crashes the servers that run it', () => {
  it('is refused after the third, and others are not', () => {
    const ids = ['a', 'b', 'c', 'd']
    const scheduler = schedulerOf(...ids.map(id => server(id, { slots: 9 })))
    for (const [at, id] of ids.slice(0, 3).entries()) {
      const avoided = ids.filter(other => other !== id)
      const now = at * 5_000
      scheduler.submit(job(`poison-${id}`, { fingerprint: 'poison', excludedServers: avoided, arrivedAt: now }), now)
      scheduler.submit(job(`other-${id}`, { excludedServers: avoided, arrivedAt: now }), now)
      scheduler.recordEnd(`poison-${id}`, id, Outcome.broken, undefined, now + 10)
      scheduler.recordEnd(`other-${id}`, id, Outcome.unreachable, undefined, now + 20)
    }
    const [refusal] = scheduler.submit(job('again', { fingerprint: 'poison', arrivedAt: 16_000 }), 16_000)
    expect(refusal?.kind === 'refuse' && refusal.reason).toEqual(Refusal.crashes)
    expect(granted(scheduler.submit(job('innocent', { arrivedAt: 16_000 }), 16_000))).toEqual(['innocent'])
  })

  it('is not found guilty by connections that merely break', () => {
    const scheduler = schedulerOf(server('a', { slots: 9 }))
    for (let i = 0; i < 9; i++) {
      scheduler.submit(job(`j${i}`, { fingerprint: 'hot', arrivedAt: i }), i)
      scheduler.recordEnd(`j${i}`, 'a', Outcome.broken, undefined, i)
    }
    expect(granted(scheduler.submit(job('last', { fingerprint: 'hot', arrivedAt: 10 }), 10))).toEqual(['last'])
  })
})
