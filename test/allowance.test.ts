import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Refusal, Scheduler } from '../src/schedule/index.js'
import { granted, job, refused, schedulerOf, server } from './jobs.js'
import { organisation, WIDE } from './rig.js'

describe('allowances', () => {
  it('hold an organisation to its rate over all hosts, and name the time to come back', () => {
    const scheduler = schedulerOf(server('a', { slots: 100 }))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 100, burst: 40 }], 0)
    const effects = Array.from({ length: 60 }, (_, at) => scheduler.ask(job(`j${at}`, { organisation: 'o', rank: 0 }), 0)).flat()
    expect(granted(effects).length).toEqual(16)
    const first = effects.find(effect => effect.kind === 'refuse')
    expect(first?.kind === 'refuse' && first.reason === Refusal.allowance && first.retryAfterMs === 10).toEqual(true)
    const second = Array.from({ length: 300 }, (_, at) => scheduler.ask(job(`k${at}`, { organisation: 'o', rank: 0 }), 1_000)).flat()
    expect(granted(second).length).toEqual(40)
  })

  // After all hosts lost power, the first one back counts for itself alone until the others link to it.
  it('grow with the hosts that come in, and are full at the very first start', () => {
    const scheduler = new Scheduler(WIDE, true)
    scheduler.setServers([server('a', { slots: 1_000 })])
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 1, burst: 60 }], 0)
    scheduler.setPart(1 / 6, 0)
    expect(granted(scheduler.ask(job('first', { organisation: 'o', rank: 0 }), 0)).length).toEqual(1)
    scheduler.setPart(1, 0)
    const more = Array.from({ length: 80 }, (_, at) => scheduler.ask(job(`j${at}`, { organisation: 'o', rank: 0 }), 0)).flat()
    expect(granted(more).length).toEqual(54)
  })

  // Load: an organisation sends twice what it may; its summaries come faster than its affidavits.
  it('that run short refuse lower ranks first, and leave enough for a long prompt of the highest', () => {
    const scheduler = schedulerOf(server('a', { slots: 1_000 }))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 1_000, burst: 1_000 }], 0)
    const asked = { affidavit: 0, summary: 0 }
    const given = { affidavit: 0, summary: 0 }
    for (let now = 0; now < 20_000; now += 100) {
      for (const [kind, rank, units] of [['summary', 2, 100], ['affidavit', 0, now % 500 === 0 ? 250 : 0]] as const) {
        if (units === 0) continue
        const wanted = job(`${kind}-${now}`, { organisation: 'o', rank, units, arrivedAt: now })
        asked[kind]++
        given[kind] += granted(scheduler.ask(wanted, now)).length
      }
    }
    expect(given.affidavit).toEqual(asked.affidavit)
    expect(given.summary > 0 && given.summary < asked.summary).toEqual(true)
  })

  it('that run short still let lodgements through, which use next to nothing', () => {
    const scheduler = schedulerOf(server('a', { slots: 1_000 }))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 1_000, burst: 1_000 }], 0)
    for (let i = 0; i < 50; i++) scheduler.ask(job(`summary-${i}`, { organisation: 'o', rank: 1, units: 100 }), 0)
    expect(granted(scheduler.ask(job('lodgement', { organisation: 'o', rank: 2, units: 2, promptTokens: 0 }), 1)))
      .toEqual(['lodgement'])
  })

  it('do not charge what was not run', () => {
    const scheduler = schedulerOf(server('a'))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 1, burst: 8 }], 0)
    scheduler.ask(job('running', { organisation: 'o', rank: 0 }), 0)
    for (let i = 0; i < 20; i++) {
      scheduler.ask(job(`w${i}`, { organisation: 'o', rank: 0 }), 1)
      scheduler.withdraw(`w${i}`, 's')
    }
    expect(refused(scheduler.ask(job('last', { organisation: 'o', rank: 0 }), 1))).toEqual([])
  })
})

describe('repeats', () => {
  it('stay under their budget', () => {
    const scheduler = new Scheduler({ ...WIDE, repeats: { ratio: 0.2, windowMs: 10_000, slack: 10 } })
    scheduler.setServers([server('a', { slots: 1_000 })])
    for (let i = 0; i < 100; i++) scheduler.ask(job(`f${i}`), 0)
    const effects = Array.from({ length: 100 }, (_, at) => {
      return scheduler.ask(job(`r${at}`, { isRepeat: true, isCharged: true }), 1)
    }).flat()
    expect(granted(effects).length <= 30 && granted(effects).length > 5).toEqual(true)
  })
})
