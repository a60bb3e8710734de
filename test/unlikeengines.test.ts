import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '../src/base/index.js'
import { type MigrationOrder, MigrationStage } from '../src/migration/index.js'
import { Outcome, type Scheduler } from '../src/schedule/index.js'
import { createScheduler, job, server } from './jobs.js'

const ORDER: MigrationOrder = { service: 's', version: 'v2', durationMs: 15_000, revision: 7 }

/** Time between two requests, in milliseconds. */
const ARRIVAL_INTERVAL_MS = 30

/** Gap between two events of an engine of speed factor 1, in milliseconds. */
const EVENT_GAP_MS = 25

/** Gaps of engines relative to {@link EVENT_GAP_MS}; each version runs on two engines of each kind. */
const SPEED_FACTORS = [0.55, 1, 2.8, 0.55, 1, 2.8]

/** Time that such an engine needs for one prompt token, in milliseconds. */
const TOKEN_MS = 0.016

/** Mean number of events of the streams of each route, and the length of their prompts. */
const EVENTS_BY_ROUTE = [55, 42, 3]
const TOKENS_BY_ROUTE = [6_600, 630, 1_800]

const SEEDS = Array.from({ length: 30 }, (_, seed) => seed + 1)

interface Stream {
  readonly id: string
  readonly server: string
  readonly startsAt: number
  readonly endsAt: number
  readonly stepMs: number
  hasStarted: boolean
}

/** Simulates a migration between engines of unlike speed, with the version `slowdown` times as slow as the old one. */
class Simulation {
  private readonly scheduler: Scheduler
  private readonly random: SeededRandom
  private streams: Stream[] = []

  constructor (private readonly slowdown: number, seed: number) {
    this.random = new SeededRandom(seed)
    this.scheduler = createScheduler(
      ...SPEED_FACTORS.map((_, index) => server(`old-${index}`, { slots: 10 })),
      ...SPEED_FACTORS.map((_, index) => server(`new-${index}`, { slots: 10, version: ORDER.version }))
    )
    this.scheduler.migrations.setLatest(ORDER, MigrationStage.running, ORDER.durationMs)
  }

  run (): MigrationStage {
    for (let now = 0; now < ORDER.durationMs; now += 5) {
      this.advance(now)
      if (now % ARRIVAL_INTERVAL_MS === 0) this.submit(now)
    }
    return this.scheduler.migrations.getLatest(ORDER.service, ORDER.durationMs)!.stage
  }

  private submit (now: number): void {
    const route = Math.floor(this.random.next() * EVENTS_BY_ROUTE.length)
    const expectedEvents = EVENTS_BY_ROUTE[route]!
    const properties = {
      route: `r${route}`, promptTokens: TOKENS_BY_ROUTE[route]!, expectedEvents, arrivedAt: now, objectiveMs: 800
    }
    this.start(this.scheduler.submit(job(`${now}/${route}`, properties), now), now)
  }

  private start (effects: ReturnType<Scheduler['tick']>, now: number): void {
    for (const effect of effects) {
      if (effect.kind !== 'grant') continue
      const [side, index] = effect.server.split('-')
      const factor = SPEED_FACTORS[Number(index)]! * (side === 'new' ? this.slowdown : 1)
      const stepMs = EVENT_GAP_MS * factor * (0.8 + 0.4 * this.random.next())
      const route = Number(effect.job.split('/')[1])
      const events = Math.ceil(2 * EVENTS_BY_ROUTE[route]! * this.random.next())
      const startsAt = now + 4 + TOKENS_BY_ROUTE[route]! * TOKEN_MS * factor
      const endsAt = startsAt + stepMs * events
      this.streams.push({ id: effect.job, server: effect.server, startsAt, endsAt, stepMs, hasStarted: false })
    }
  }

  private advance (now: number): void {
    const due = this.streams.filter(stream => stream.endsAt <= now)
    for (const stream of this.streams) {
      if (stream.hasStarted || stream.startsAt > now) continue
      stream.hasStarted = true
      this.start(this.scheduler.recordFirstEvent(stream.id, stream.server, now), now)
    }
    this.streams = this.streams.filter(stream => !due.includes(stream))
    for (const { id, server: serverId, stepMs } of due) {
      this.start(this.scheduler.recordEnd(id, serverId, Outcome.done, stepMs, now), now)
    }
  }
}

describe('a migration between engines of unlike speed', () => {
  // Guards against a slow version in force: its fast engines were as fast as the slowest engine of the old version.
  it('is rolled back if the version is several times slower', () => {
    for (const slowdown of [3, 4, 8]) {
      const completed = SEEDS.filter(seed => new Simulation(slowdown, seed).run() !== MigrationStage.rolledBack)
      expect(completed).toEqual([])
    }
  })

  // Guards against good versions that are rolled back, because their engines were compared with faster ones.
  it('completes if the version is as fast', () => {
    const rolledBack = SEEDS.filter(seed => new Simulation(1, seed).run() !== MigrationStage.completed)
    expect(rolledBack).toEqual([])
  })
})
