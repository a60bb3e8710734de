import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Outcome, Refusal, Scheduler } from '../src/schedule/index.js'
import { Dispatcher } from '../src/dispatch/index.js'
import { granted, job, refused, schedulerOf, server } from './jobs.js'
import { organisation, WIDE } from './rig.js'
import { ManualClock } from './time.js'

describe('allowances', () => {
  it('hold an organisation to its rate over all hosts, and name the time to come back', () => {
    const scheduler = schedulerOf(server('a', { slots: 100 }))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 100, burst: 40 }], 0)
    const effects = Array.from({ length: 60 }, (_, at) => scheduler.submit(job(`j${at}`, { organisation: 'o', rank: 0 }), 0)).flat()
    expect(granted(effects).length).toEqual(16)
    const first = effects.find(effect => effect.kind === 'refuse')
    expect(first?.kind === 'refuse' && first.reason === Refusal.quota && first.retryAfterMs === 10).toEqual(true)
    const second = Array.from({ length: 300 }, (_, at) => scheduler.submit(job(`k${at}`, { organisation: 'o', rank: 0 }), 1_000)).flat()
    expect(granted(second).length).toEqual(40)
  })

  // After all hosts lost power, the first one back counts for itself alone until the others link to it.
  it('grow with the hosts that come in, and are full at the very first start', () => {
    const scheduler = new Scheduler(WIDE, true)
    scheduler.setServers([server('a', { slots: 1_000 })])
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 1, burst: 60 }], 0)
    scheduler.setShare(1 / 6, 0)
    expect(granted(scheduler.submit(job('first', { organisation: 'o', rank: 0 }), 0)).length).toEqual(1)
    scheduler.setShare(1, 0)
    const more = Array.from({ length: 80 }, (_, at) => scheduler.submit(job(`j${at}`, { organisation: 'o', rank: 0 }), 0)).flat()
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
        given[kind] += granted(scheduler.submit(wanted, now)).length
      }
    }
    expect(given.affidavit).toEqual(asked.affidavit)
    expect(given.summary > 0 && given.summary < asked.summary).toEqual(true)
  })

  it('that run short still let lodgements through, which use next to nothing', () => {
    const scheduler = schedulerOf(server('a', { slots: 1_000 }))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 1_000, burst: 1_000 }], 0)
    for (let i = 0; i < 50; i++) scheduler.submit(job(`summary-${i}`, { organisation: 'o', rank: 1, units: 100 }), 0)
    expect(granted(scheduler.submit(job('lodgement', { organisation: 'o', rank: 2, units: 2, promptTokens: 0 }), 1)))
      .toEqual(['lodgement'])
  })

  it('do not charge what was not run', () => {
    const scheduler = schedulerOf(server('a'))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 1, burst: 8 }], 0)
    scheduler.submit(job('running', { organisation: 'o', rank: 0 }), 0)
    for (let i = 0; i < 20; i++) {
      scheduler.submit(job(`w${i}`, { organisation: 'o', rank: 0 }), 1)
      scheduler.withdraw(`w${i}`, 's', 1)
    }
    expect(refused(scheduler.submit(job('last', { organisation: 'o', rank: 0 }), 1))).toEqual([])
  })
})

describe('allowances over changes of scheduler', () => {
  const TOLERANCE = { share: 0.1, units: 140_000 }
  const RATE = 100_000
  const WINDOW_MS = 8_000
  const UNITS = 2_000

  /** What one organisation that asks for far more gets in a window in which the scheduler changes every so often. */
  function usedWith (changeMs: number, isTold: boolean): number {
    let scheduler = new Scheduler({ ...WIDE, quotaOvershoot: TOLERANCE }, true)
    let used = 0
    let heard: { level: number, at: number } | undefined
    const begin = (now: number): void => {
      scheduler.setServers([server('a', { slots: 1_000 })])
      scheduler.setOrganisations([{ ...organisation('o'), ratePerS: RATE, burst: RATE }], now)
      const level = heard === undefined ? [] : [{ organisation: 'o', level: heard.level, ageMs: now - heard.at }]
      if (isTold) scheduler.adoptQuotaBalances(level, now)
    }
    begin(0)
    for (let now = 0; now < WINDOW_MS; now += 5) {
      if (now > 0 && now % changeMs === 0) {
        scheduler = new Scheduler({ ...WIDE, quotaOvershoot: TOLERANCE })
        begin(now)
      }
      const asked = job(`${now}`, { organisation: 'o', units: UNITS, rank: 0, arrivedAt: now })
      for (const effect of scheduler.submit(asked, now)) {
        if (effect.kind !== 'grant') continue
        used += UNITS
        if (effect.level !== undefined) heard = { level: effect.level, at: now }
        scheduler.recordEnd(effect.job, 'a', Outcome.done, undefined, now)
      }
    }
    return used
  }

  const MOST = (RATE * WINDOW_MS / 1_000 + RATE) * (1 + TOLERANCE.share) + TOLERANCE.units

  // Load: an organisation sends many times its usual while hosts are stopped in turn.
  it('hold however often the scheduler changes, as hosts tell the next one what is left', () => {
    for (const changeMs of [100, 500, 1_000, 2_000]) expect(usedWith(changeMs, true) <= MOST).toEqual(true)
  })

  it('would not hold if each scheduler began anew', () => {
    expect(usedWith(1_000, false) > MOST).toEqual(true)
  })

  it('do not refuse what an organisation has left', () => {
    const scheduler = schedulerOf(server('a', { slots: 9 }))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 10, burst: 10 }], 0)
    scheduler.adoptQuotaBalances([{ organisation: 'o', level: 0.9, ageMs: 5 }], 0)
    const asked = Array.from({ length: 8 }, (_, i) => scheduler.submit(job(`${i}`, { organisation: 'o', rank: 0 }), 0))
    expect(granted(asked.flat()).length).toEqual(8)
  })

  it('go by the newest news, less what was given since', () => {
    const scheduler = schedulerOf(server('a', { slots: 9 }))
    scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 0.001, burst: 10 }], 0)
    scheduler.adoptQuotaBalances([{ organisation: 'o', level: 1, ageMs: 400 }], 0)
    expect(granted(scheduler.submit(job('1', { organisation: 'o', units: 4, rank: 0 }), 0)).length).toEqual(1)
    scheduler.adoptQuotaBalances([{ organisation: 'o', level: 0.5, ageMs: 10 }], 1)
    scheduler.adoptQuotaBalances([{ organisation: 'o', level: 0.9, ageMs: 300 }], 1)
    expect(refused(scheduler.submit(job('2', { organisation: 'o', units: 2, rank: 0 }), 1))).toEqual(['2'])
    expect(granted(scheduler.submit(job('3', { organisation: 'o', units: 1, rank: 0 }), 1))).toEqual(['3'])
  })
})

describe('repeats over changes of scheduler', () => {
  // Load: servers break off answers while hosts are stopped in turn, so that each scheduler knows of no repeat yet.
  it('stay under the budget of all hosts, since each host keeps to its part', () => {
    const bounds = { ratio: 0.2, windowMs: 10_000, slack: 54 }
    const hosts = 7
    let sent = 0
    for (let host = 0; host < hosts; host++) {
      const clock = new ManualClock(0)
      const dispatcher = new Dispatcher(clock, bounds)
      dispatcher.hostCount = hosts
      for (let i = 0; i < 100; i++) dispatcher.request(job('', {}), () => undefined)
      for (let i = 0; i < 100; i++) {
        // A scheduler that was just chosen grants whatever is asked.
        dispatcher.switchScheduler({ send: () => undefined })
        let isRefused = false
        dispatcher.request(job('', { isRetry: true, isCharged: true }), ({ kind }) => { isRefused = kind === 'refused' })
        if (!isRefused) sent++
      }
    }
    expect(sent > 100 && sent <= bounds.ratio * 100 * hosts + bounds.slack).toEqual(true)
  })
})

describe('repeats', () => {
  it('stay under their budget', () => {
    const scheduler = new Scheduler({ ...WIDE, retries: { ratio: 0.2, windowMs: 10_000, slack: 10 } })
    scheduler.setServers([server('a', { slots: 1_000 })])
    for (let i = 0; i < 100; i++) scheduler.submit(job(`f${i}`), 0)
    const effects = Array.from({ length: 100 }, (_, at) => {
      return scheduler.submit(job(`r${at}`, { isRetry: true, isCharged: true }), 1)
    }).flat()
    expect(granted(effects).length <= 30 && granted(effects).length > 5).toEqual(true)
  })
})
