import { describe, it } from 'node:test'
import { expect } from 'earl'
import * as fc from 'fast-check'
import { Migration, type MigrationOrder, MigrationStage, Side } from '../src/migration/index.js'
import { Outcome, type Scheduler } from '../src/schedule/index.js'
import { createScheduler, grantedJobIds, job, server } from './jobs.js'
import { fuzzParameters } from './fuzzparameters.js'

/**
 * Limits of the exposure to a bad version: a tenth of all requests plus 50, and no request later than 5 s after the
 * version's 50th bad response.
 */
const EXPOSURE_LIMIT = { share: 0.1, slack: 50 }
const BAD_RESPONSE_LIMIT = 50
const STOP_TIMEOUT_MS = 5_000

const ORDER: MigrationOrder = { service: 's', version: 'v2', durationMs: 12_000, revision: 7 }

/** How the servers of the version behave. */
interface VersionBehaviour {
  /** When the version starts to fail, in milliseconds from the order; Infinity if it never does. */
  readonly badFrom: number
  /** Share of bad responses from then on, from 0 to 1. */
  readonly badShare: number
  /** Whether bad responses are slow rather than failures. */
  readonly isSlow: boolean
  /** Whether only one of three routes is affected. */
  readonly isOneRoute: boolean
}

/** Result of one simulated migration. */
interface SimulationResult {
  readonly stage: MigrationStage
  readonly requests: number
  /** Requests that were sent to the new version. */
  readonly exposed: number
  /** Requests that were sent to the new version more than STOP_TIMEOUT_MS after its 50th bad response. */
  readonly late: number
}

const MEAN_CALL_MS = 90

/** One call that runs on a server. */
interface Call {
  readonly id: string
  readonly server: string
  readonly endsAt: number
  readonly durationMs: number
  readonly outcome: Outcome
  readonly isBad: boolean
}

/** Simulates a migration with evenly spaced requests. A seeded generator makes each simulation reproducible. */
class Simulation {
  readonly counts = { requests: 0, exposed: 0, late: 0 }
  private readonly scheduler = createScheduler(
    server('a', { slots: 12 }), server('b', { slots: 12 }),
    server('x', { slots: 12, version: 'v2' }), server('y', { slots: 12, version: 'v2' })
  )

  private calls: Call[] = []
  private badResponses = 0
  private stopDeadlineAt = Infinity

  constructor (private readonly behaviour: VersionBehaviour, private randomState: number) {
    this.scheduler.migrations.setLatest(ORDER, MigrationStage.running, ORDER.durationMs)
  }

  run (requestsPerS: number): SimulationResult {
    let nextArrivalAt = 0
    for (let now = 0; now < ORDER.durationMs; now++) {
      this.endCalls(now)
      for (; nextArrivalAt <= now; nextArrivalAt += 1_000 / requestsPerS) this.submit(`${nextArrivalAt}`, now)
    }
    return { ...this.counts, stage: this.scheduler.migrations.getLatest('s', ORDER.durationMs)!.stage }
  }

  private submit (id: string, now: number): void {
    const route = `r${Math.floor(this.random() * 3)}`
    const properties = {
      route, promptTokens: 0, expectedEvents: 0, arrivedAt: now, objectiveMs: 300, deadlineAt: now + 1_500
    }
    this.startCalls(this.scheduler.submit(job(`${id}-${route}`, properties), now), now)
  }

  private endCalls (now: number): void {
    const ended = this.calls.filter(call => call.endsAt <= now)
    this.calls = this.calls.filter(call => call.endsAt > now)
    for (const call of ended) {
      if (call.isBad && ++this.badResponses === BAD_RESPONSE_LIMIT) this.stopDeadlineAt = now + STOP_TIMEOUT_MS
      this.startCalls(this.scheduler.recordEnd(call.id, call.server, call.outcome, call.durationMs, now), now)
    }
  }

  private startCalls (effects: ReturnType<Scheduler['tick']>, now: number): void {
    for (const effect of effects) {
      if (effect.kind !== 'grant') continue
      const isCanary = effect.server === 'x' || effect.server === 'y'
      this.counts.requests++
      if (isCanary) this.counts.exposed++
      if (isCanary && now > this.stopDeadlineAt) this.counts.late++
      this.calls.push(
        this.simulateCall(effect.job, effect.server, isCanary && this.isResponseBad(effect.job, now), now)
      )
    }
  }

  private simulateCall (id: string, server: string, isBad: boolean, now: number): Call {
    const durationMs = MEAN_CALL_MS * (0.6 + 0.8 * this.random()) * (isBad && this.behaviour.isSlow ? 5 : 1)
    const isFailure = (isBad && !this.behaviour.isSlow) || this.random() < 0.05
    return {
      id, server, endsAt: now + durationMs, durationMs, outcome: isFailure ? Outcome.failed : Outcome.done, isBad
    }
  }

  private isResponseBad (id: string, now: number): boolean {
    const { isOneRoute, badFrom, badShare } = this.behaviour
    return (!isOneRoute || id.endsWith('r0')) && now >= badFrom && this.random() < badShare
  }

  private random (): number {
    this.randomState = (Math.imul(this.randomState, 1_103_515_245) + 12_345) >>> 0
    return this.randomState / 2 ** 32
  }
}

function simulate (requestsPerS: number, behaviour: VersionBehaviour, seed: number): SimulationResult {
  return new Simulation(behaviour, seed).run(requestsPerS)
}

const HEALTHY: VersionBehaviour = { badFrom: Infinity, badShare: 0, isSlow: false, isOneRoute: false }

describe('a version migration', () => {
  it('is completed in time if the version is healthy', () => {
    for (let seed = 1; seed <= 40; seed++) expect(simulate(70, HEALTHY, seed).stage).toEqual(MigrationStage.completed)
  })

  it('exposes requests to the version, but no more than the exposure limit', () => {
    const result = simulate(70, HEALTHY, 3)
    expect(
      result.exposed > 20 && result.exposed <= EXPOSURE_LIMIT.share * result.requests + EXPOSURE_LIMIT.slack
    ).toEqual(true)
  })

  it('is rolled back if the version fails, is slow, or fails on one route only', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const behaviours = [{ badShare: 0.5 }, { badShare: 0.6, isSlow: true }, { badShare: 0.8, isOneRoute: true }]
      const stages = behaviours.map(behaviour => simulate(140, { ...HEALTHY, badFrom: 0, ...behaviour }, seed).stage)
      expect(stages).toEqual(behaviours.map(() => MigrationStage.rolledBack))
    }
  })

  it('keeps the exposure limits whenever and however the version starts to fail', () => {
    const behaviours = fc.record({
      badFrom: fc.integer({ min: 0, max: 12_000 }),
      badShare: fc.double({ min: 0.1, max: 1, noNaN: true }),
      isSlow: fc.boolean(),
      isOneRoute: fc.boolean()
    })
    fc.assert(fc.property(fc.integer({ min: 5, max: 200 }), behaviours, fc.nat(), (requestsPerS, behaviour, seed) => {
      const { exposed, requests, late } = simulate(requestsPerS, behaviour, seed)
      expect(exposed <= EXPOSURE_LIMIT.share * requests + EXPOSURE_LIMIT.slack).toEqual(true)
      expect(late).toEqual(0)
    }), fuzzParameters(60))
  })

  // Guards against exceeding the limit at the change-over: the stable servers cannot finish long responses before they
  // are stopped, so that all of these requests would go to the new version.
  it('keeps the exposure limit at the change-over too, with and without slack', () => {
    for (const limit of [EXPOSURE_LIMIT, { share: 0.1, slack: 0 }]) {
      const migration = new Migration({ ...ORDER, durationMs: 10_000 }, limit, 10_000)
      let requests = 0
      let exposed = 0
      for (let now = 0; now < 10_000; now += 10) {
        migration.tick(now)
        const [side] = migration.eligibleSides('r', now + 3_000, now)
        migration.recordGrant('r', side!, side!)
        requests++
        if (side === Side.canary) exposed++
        const outcome = { route: 'r', server: side!, isCanary: side === Side.canary, isFailure: false, isConnectionLoss: false }
        migration.recordOutcome({ ...outcome, latencyMs: undefined }, now)
      }
      expect(migration.stage).toEqual(MigrationStage.completed)
      expect(exposed <= limit.share * requests + limit.slack).toEqual(true)
    }
  })

  it('is rolled back for one failing route, though the version is no worse than the stable servers overall', () => {
    const migration = new Migration(ORDER, EXPOSURE_LIMIT, ORDER.durationMs)
    const recordResponses = (route: string, isCanary: boolean, count: number, failures: number): void => {
      for (let i = 0; i < count; i++) {
        const outcome = { route, server: isCanary ? 'x' : 'a', isCanary, isFailure: i * failures % count < failures, isConnectionLoss: false }
        migration.recordOutcome({ ...outcome, latencyMs: undefined }, 0)
      }
    }
    recordResponses('often fails', false, 200, 120)
    recordResponses('never fails', false, 200, 0)
    recordResponses('often fails', true, 20, 12)
    expect(migration.stage).toEqual(MigrationStage.running)
    recordResponses('never fails', true, 10, 6)
    expect(migration.stage).toEqual(MigrationStage.rolledBack)
  })

  it('counts a crash of a server as one failure, however many requests it aborts', () => {
    const migration = new Migration(ORDER, EXPOSURE_LIMIT, ORDER.durationMs)
    const outcome = { route: 'r', latencyMs: undefined, isFailure: false, isConnectionLoss: false }
    for (let i = 0; i < 30; i++) migration.recordOutcome({ ...outcome, server: 'a', isCanary: false }, i)
    for (let i = 0; i < 12; i++) migration.recordOutcome({ ...outcome, server: 'x', isCanary: true, isFailure: true, isConnectionLoss: true }, 50 + i)
    expect(migration.stage).toEqual(MigrationStage.running)
  })

  it('is rolled back at its due time if the version gave too few responses', () => {
    const migration = new Migration(ORDER, EXPOSURE_LIMIT, ORDER.durationMs)
    migration.tick(ORDER.durationMs)
    expect(migration.stage).toEqual(MigrationStage.rolledBack)
  })
})

describe('a version that was rolled back', () => {
  it('gets no requests, even if there is no other server', () => {
    const scheduler = createScheduler(server('x', { version: 'v2' }))
    scheduler.migrations.setLatest(ORDER, MigrationStage.rolledBack, ORDER.durationMs)
    expect(grantedJobIds(scheduler.submit(job('1'), 0))).toEqual([])
  })

  it('can be migrated to by a new order', () => {
    const scheduler = createScheduler(server('x', { version: 'v2' }))
    scheduler.migrations.setLatest(ORDER, MigrationStage.rolledBack, ORDER.durationMs)
    scheduler.migrations.setLatest({ ...ORDER, revision: 9 }, MigrationStage.running, ORDER.durationMs)
    expect(grantedJobIds(scheduler.submit(job('1'), 0))).toEqual(['1'])
  })
})

describe('a version whose migration is completed', () => {
  // Guards against an unused release: a later version is deployed without an order, long after the migration.
  it('shares requests with later versions', () => {
    const scheduler = createScheduler(server('x', { slots: 1, version: 'v2' }), server('z', { slots: 1, version: 'v3' }))
    scheduler.migrations.setLatest(ORDER, MigrationStage.completed, ORDER.durationMs)
    const now = ORDER.durationMs + 60_000
    const effects = [1, 2].flatMap(i => scheduler.submit(job(String(i), { arrivedAt: now }), now))
    expect(effects.map(effect => effect.kind === 'grant' ? effect.server : '').sort()).toEqual(['x', 'z'])
  })

  it('gets all requests, though the list of servers still contains the old ones', () => {
    const scheduler = createScheduler(server('a', { slots: 9 }), server('x', { slots: 9, version: 'v2' }))
    scheduler.migrations.setLatest(ORDER, MigrationStage.completed, ORDER.durationMs)
    const effects = [1, 2, 3, 4].flatMap(i => scheduler.submit(job(String(i)), i))
    expect(effects.map(effect => effect.kind === 'grant' ? effect.server : '')).toEqual(['x', 'x', 'x', 'x'])
  })
})
