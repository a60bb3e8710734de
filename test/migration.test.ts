import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as fc from 'fast-check'
import { Migration, type MigrationOrder, MigrationStage, Side } from '../src/migration/index.js'
import { Outcome, type Scheduler } from '../src/schedule/index.js'
import { granted, job, schedulerOf, server } from './jobs.js'
import { runs } from './runs.js'

/** What operators bear of a bad version: a tenth of all requests and 50, none 5 s after its 50th bad answer. */
const BOUNDS = { share: 0.1, slack: 50 }
const BAD_ANSWERS = 50
const STOP_MS = 5_000

const ORDER: MigrationOrder = { service: 's', version: 'v2', durationMs: 12_000, revision: 7 }

/** How the servers of the version behave. */
interface Version {
  /** When it turns bad, in milliseconds from the order; Infinity if it is good. */
  readonly badFrom: number
  /** Part of its answers that are bad then. */
  readonly badPart: number
  /** Whether bad answers are slow, not failures. */
  readonly isSlow: boolean
  /** Whether only one of three routes is bad. */
  readonly isOneRoute: boolean
}

/** What a version got in one move. */
interface Course {
  readonly stage: MigrationStage
  readonly requests: number
  readonly exposed: number
  /** Requests to the version more than the stated time after its 50th bad answer. */
  readonly late: number
}

const CALL_MS = 90

/** One call at a server. */
interface Call {
  readonly id: string
  readonly server: string
  readonly endsAt: number
  readonly ms: number
  readonly outcome: Outcome
  readonly isBad: boolean
}

/** Plays a move with calls that arrive evenly; a small generator makes each draw repeatable. */
class Play {
  readonly course = { requests: 0, exposed: 0, late: 0 }
  private readonly scheduler = schedulerOf(
    server('a', { slots: 12 }), server('b', { slots: 12 }),
    server('x', { slots: 12, version: 'v2' }), server('y', { slots: 12, version: 'v2' })
  )

  private calls: Call[] = []
  private bad = 0
  private stopBy = Infinity

  constructor (private readonly version: Version, private state: number) {
    this.scheduler.migrations.setLatest(ORDER, MigrationStage.running, ORDER.durationMs)
  }

  run (perS: number): Course {
    let next = 0
    for (let now = 0; now < ORDER.durationMs; now++) {
      this.end(now)
      for (; next <= now; next += 1_000 / perS) this.arrive(`${next}`, now)
    }
    return { ...this.course, stage: this.scheduler.migrations.getLatest('s', ORDER.durationMs)!.stage }
  }

  private arrive (id: string, now: number): void {
    const route = `r${Math.floor(this.draw() * 3)}`
    const stated = { route, promptTokens: 0, events: 0, arrivedAt: now, objectiveMs: 300, deadlineAt: now + 1_500 }
    this.take(this.scheduler.submit(job(`${id}-${route}`, stated), now), now)
  }

  private end (now: number): void {
    const ended = this.calls.filter(call => call.endsAt <= now)
    this.calls = this.calls.filter(call => call.endsAt > now)
    for (const call of ended) {
      if (call.isBad && ++this.bad === BAD_ANSWERS) this.stopBy = now + STOP_MS
      this.take(this.scheduler.recordEnd(call.id, call.server, call.outcome, call.ms, now), now)
    }
  }

  private take (effects: ReturnType<Scheduler['tick']>, now: number): void {
    for (const effect of effects) {
      if (effect.kind !== 'grant') continue
      const isFresh = effect.server === 'x' || effect.server === 'y'
      this.course.requests++
      if (isFresh) this.course.exposed++
      if (isFresh && now > this.stopBy) this.course.late++
      this.calls.push(this.call(effect.job, effect.server, isFresh && this.isBad(effect.job, now), now))
    }
  }

  private call (id: string, server: string, isBad: boolean, now: number): Call {
    const ms = CALL_MS * (0.6 + 0.8 * this.draw()) * (isBad && this.version.isSlow ? 5 : 1)
    const isFailure = (isBad && !this.version.isSlow) || this.draw() < 0.05
    return { id, server, endsAt: now + ms, ms, outcome: isFailure ? Outcome.failed : Outcome.done, isBad }
  }

  private isBad (id: string, now: number): boolean {
    const { isOneRoute, badFrom, badPart } = this.version
    return (!isOneRoute || id.endsWith('r0')) && now >= badFrom && this.draw() < badPart
  }

  private draw (): number {
    this.state = (Math.imul(this.state, 1_103_515_245) + 12_345) >>> 0
    return this.state / 2 ** 32
  }
}

function play (perS: number, version: Version, seed: number): Course {
  return new Play(version, seed).run(perS)
}

const GOOD: Version = { badFrom: Infinity, badPart: 0, isSlow: false, isOneRoute: false }

describe('a move to a version', () => {
  it('is done in time if the version is good', () => {
    for (let seed = 1; seed <= 40; seed++) expect(play(70, GOOD, seed).stage).toEqual(MigrationStage.completed)
  })

  it('gives each route its part of the trial, and the version no more than operators bear', () => {
    const course = play(70, GOOD, 3)
    expect(course.exposed > 20 && course.exposed <= BOUNDS.share * course.requests + BOUNDS.slack).toEqual(true)
  })

  it('is taken back if the version fails, is slow, or does so on one route only', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const bad = [{ badPart: 0.5 }, { badPart: 0.6, isSlow: true }, { badPart: 0.8, isOneRoute: true }]
      const stages = bad.map(how => play(140, { ...GOOD, badFrom: 0, ...how }, seed).stage)
      expect(stages).toEqual(bad.map(() => MigrationStage.rolledBack))
    }
  })

  it('keeps the bounds whenever and however the version turns bad', () => {
    const versions = fc.record({
      badFrom: fc.integer({ min: 0, max: 12_000 }),
      badPart: fc.double({ min: 0.1, max: 1, noNaN: true }),
      isSlow: fc.boolean(),
      isOneRoute: fc.boolean()
    })
    fc.assert(fc.property(fc.integer({ min: 5, max: 200 }), versions, fc.nat(), (perS, version, seed) => {
      const { exposed, requests, late } = play(perS, version, seed)
      expect(exposed <= BOUNDS.share * requests + BOUNDS.slack).toEqual(true)
      expect(late).toEqual(0)
    }), runs(60))
  })

  // Load: long answers that the old servers could not end before they are stopped all want to go to the version.
  it('keeps the bound at the change-over too, with and without slack', () => {
    for (const bounds of [BOUNDS, { share: 0.1, slack: 0 }]) {
      const move = new Migration({ ...ORDER, durationMs: 10_000 }, bounds, 10_000)
      let requests = 0
      let exposed = 0
      for (let now = 0; now < 10_000; now += 10) {
        move.tick(now)
        const [side] = move.eligibleSides('r', now + 3_000, now)
        move.recordGrant('r', side!)
        requests++
        if (side === Side.canary) exposed++
        const seen = { route: 'r', server: side!, isCanary: side === Side.canary, isFailure: false, isConnectionLoss: false }
        move.recordOutcome({ ...seen, latencyMs: undefined }, now)
      }
      expect(move.stage).toEqual(MigrationStage.completed)
      expect(exposed <= bounds.share * requests + bounds.slack).toEqual(true)
    }
  })

  it('is taken back for one bad route, though the version is no worse than the others in all', () => {
    const move = new Migration(ORDER, BOUNDS, ORDER.durationMs)
    const answers = (route: string, isCanary: boolean, count: number, bad: number): void => {
      for (let i = 0; i < count; i++) {
        const seen = { route, server: isCanary ? 'x' : 'a', isCanary, isFailure: i * bad % count < bad, isConnectionLoss: false }
        move.recordOutcome({ ...seen, latencyMs: undefined }, 0)
      }
    }
    answers('often fails', false, 200, 120)
    answers('never fails', false, 200, 0)
    answers('often fails', true, 20, 12)
    expect(move.stage).toEqual(MigrationStage.running)
    answers('never fails', true, 10, 6)
    expect(move.stage).toEqual(MigrationStage.rolledBack)
  })

  it('takes one crash of a server for one failure, however many requests it ends', () => {
    const move = new Migration(ORDER, BOUNDS, ORDER.durationMs)
    const seen = { route: 'r', latencyMs: undefined, isFailure: false, isConnectionLoss: false }
    for (let i = 0; i < 30; i++) move.recordOutcome({ ...seen, server: 'a', isCanary: false }, i)
    for (let i = 0; i < 12; i++) move.recordOutcome({ ...seen, server: 'x', isCanary: true, isFailure: true, isConnectionLoss: true }, 50 + i)
    expect(move.stage).toEqual(MigrationStage.running)
  })

  it('is taken back when it is due if hardly any answer of the version came', () => {
    const move = new Migration(ORDER, BOUNDS, ORDER.durationMs)
    move.tick(ORDER.durationMs)
    expect(move.stage).toEqual(MigrationStage.rolledBack)
  })
})

describe('a version that was found bad', () => {
  it('gets no request, even if no other server is there', () => {
    const scheduler = schedulerOf(server('x', { version: 'v2' }))
    scheduler.migrations.setLatest(ORDER, MigrationStage.rolledBack, ORDER.durationMs)
    expect(granted(scheduler.submit(job('1'), 0))).toEqual([])
  })

  it('may be ordered anew', () => {
    const scheduler = schedulerOf(server('x', { version: 'v2' }))
    scheduler.migrations.setLatest(ORDER, MigrationStage.rolledBack, ORDER.durationMs)
    scheduler.migrations.setLatest({ ...ORDER, revision: 9 }, MigrationStage.running, ORDER.durationMs)
    expect(granted(scheduler.submit(job('1'), 0))).toEqual(['1'])
  })
})

describe('a version that was moved to', () => {
  // Load: the next release comes without an order, long after the move.
  it('shares requests with later versions', () => {
    const scheduler = schedulerOf(server('x', { slots: 1, version: 'v2' }), server('z', { slots: 1, version: 'v3' }))
    scheduler.migrations.setLatest(ORDER, MigrationStage.completed, ORDER.durationMs)
    const now = ORDER.durationMs + 60_000
    const effects = [1, 2].flatMap(i => scheduler.submit(job(String(i), { arrivedAt: now }), now))
    expect(effects.map(effect => effect.kind === 'grant' ? effect.server : '').sort()).toEqual(['x', 'z'])
  })

  it('gets all requests, though the list of servers still names the old ones', () => {
    const scheduler = schedulerOf(server('a', { slots: 9 }), server('x', { slots: 9, version: 'v2' }))
    scheduler.migrations.setLatest(ORDER, MigrationStage.completed, ORDER.durationMs)
    const effects = [1, 2, 3, 4].flatMap(i => scheduler.submit(job(String(i)), i))
    expect(effects.map(effect => effect.kind === 'grant' ? effect.server : '')).toEqual(['x', 'x', 'x', 'x'])
  })
})
