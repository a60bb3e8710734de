import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { BackendServer } from '../src/fleet/index.js'
import { type Effect, type Job, Outcome, Refusal, Scheduler } from '../src/schedule/index.js'
import { job, server } from './jobs.js'
import { organisation, WIDE } from './rig.js'
import { runs } from './runs.js'

const ORGANISATIONS = ['o', 'p']
const RATE_PER_S = 50
const BURST = 40
const SERVERS = [server('a', { slots: 2 }), server('b', { slots: 3 }), server('c', { slots: 1 })]

/** What the oracle knows: it follows the effects and decides nothing. */
class Model {
  now = 0
  next = 0
  servers: readonly BackendServer[] = SERVERS
  readonly waiting = new Map<string, Job>()
  readonly running = new Map<string, { readonly job: Job, readonly server: string }>()
  readonly used = new Map<string, number>()

  constructor (readonly scheduler: Scheduler) {}

  /** Follows effects, and throws if one is not allowed. */
  follow (effects: readonly Effect[]): void {
    for (const effect of effects) {
      const asked = this.waiting.get(effect.job)
      if (asked === undefined) throw new Error(`${effect.job} got a second decision, or was withdrawn`)
      this.waiting.delete(effect.job)
      if (effect.kind === 'grant') this.granted(asked, effect.server)
      else this.refused(asked, effect.reason, effect.retryAfterMs)
    }
    if (this.scheduler.queueLength !== this.waiting.size) throw new Error('waiting jobs were lost')
  }

  private granted (asked: Job, id: string): void {
    const target = this.servers.find(({ id: known }) => known === id)
    if (target === undefined) throw new Error(`${asked.id} was granted ${id}, which takes no work`)
    if (asked.excludedServers.includes(id)) throw new Error(`${asked.id} was granted ${id}, which it avoids`)
    this.running.set(asked.id, { job: asked, server: id })
    const load = [...this.running.values()].filter(run => run.server === id).length
    if (load > target.slots) throw new Error(`${id} has ${load} jobs for ${target.slots} places`)
    for (const other of this.waiting.values()) {
      const wouldGoBefore = other.rank < asked.rank && !other.excludedServers.includes(id)
      if (wouldGoBefore) throw new Error(`${asked.id} of rank ${asked.rank} went before ${other.id} of rank ${other.rank}`)
    }
    const { organisation: name } = asked
    if (name === undefined) return
    const used = (this.used.get(name) ?? 0) + asked.units
    this.used.set(name, used)
    const most = BURST + RATE_PER_S * this.now / 1_000
    if (used > most + 1e-6) throw new Error(`${name} used ${used} units of ${most}`)
  }

  private refused (asked: Job, reason: Refusal, retryAfterMs: number): void {
    if (retryAfterMs < 0) throw new Error(`${asked.id} is to come back ${-retryAfterMs} ms ago`)
    const waitedMs = this.now - asked.arrivedAt
    if (reason === Refusal.capacity && waitedMs === 0) throw new Error(`${asked.id} was refused at once for want of places`)
  }
}

type Step = (model: Model) => void

const ask = fc.record({
  rank: fc.nat(2),
  organisation: fc.constantFrom(undefined, ...ORGANISATIONS),
  units: fc.integer({ min: 1, max: 15 }),
  objectiveMs: fc.integer({ min: 100, max: 2_000 }),
  timeMs: fc.integer({ min: 100, max: 5_000 }),
  avoided: fc.subarray(['a', 'b', 'c'], { maxLength: 2 })
}).map(({ timeMs, ...stated }): Step => model => {
  const { now } = model
  const asked = job(`h/${model.next++}`, { ...stated, promptTokens: 0, arrivedAt: now, deadlineAt: now + timeMs })
  model.waiting.set(asked.id, asked)
  model.follow(model.scheduler.submit(asked, now))
})

const end = fc.record({ pick: fc.nat(), outcome: fc.constantFrom(...Object.values(Outcome)) })
  .map(({ pick, outcome }): Step => model => {
    const [id, run] = [...model.running][pick % Math.max(1, model.running.size)] ?? []
    if (id === undefined || run === undefined) return
    model.running.delete(id)
    model.follow(model.scheduler.recordEnd(id, run.server, outcome, 50, model.now))
  })

const withdraw = fc.nat().map((pick): Step => model => {
  const asked = [...model.waiting.values()][pick % Math.max(1, model.waiting.size)]
  if (asked === undefined) return
  model.waiting.delete(asked.id)
  model.scheduler.withdraw(asked.id, asked.service, model.now)
})

const pass = fc.integer({ min: 1, max: 700 }).map((ms): Step => model => {
  model.now += ms
  model.follow(model.scheduler.tick(model.now))
})

const change = fc.subarray([...SERVERS], { minLength: 1 }).map((servers): Step => model => {
  for (const [id, run] of model.running) {
    if (!servers.some(({ id: known }) => known === run.server)) model.running.delete(id)
  }
  model.servers = servers
  model.scheduler.setServers(servers)
})

describe('the scheduler', () => {
  it('decides each job once, fills no server beyond its places, keeps ranks and allowances', () => {
    const step = fc.oneof({ weight: 6, arbitrary: ask }, { weight: 4, arbitrary: end }, withdraw, pass, change)
    fc.assert(fc.property(fc.array(step, { maxLength: 240 }), steps => {
      const scheduler = new Scheduler(WIDE, true)
      const model = new Model(scheduler)
      scheduler.setServers(SERVERS)
      const organisations = ORGANISATIONS.map(name => ({ ...organisation(name), ratePerS: RATE_PER_S, burst: BURST }))
      scheduler.setOrganisations(organisations, 0)
      for (const apply of steps) apply(model)
    }), runs(400))
  })
})
