import { describe, it } from 'node:test'
import fc from 'fast-check'
import { AdmissionController, type Effect, type Job } from '../src/admission/index.js'
import { runs } from './runs.js'

/** What the oracle knows of each job. */
interface Model {
  now: number
  next: number
  readonly waiting: Map<string, Job>
  readonly running: Map<string, Job>
  readonly yielding: Set<string>
}

const ORGANISATIONS = ['a', 'b', 'c']

/** Checks effects against what is allowed, and follows them. */
function follow (model: Model, admission: AdmissionController, effects: readonly Effect[]): void {
  for (const effect of effects) {
    const { job } = effect
    if (effect.effect === 'yield') {
      if (!model.running.has(job.id) || model.yielding.has(job.id)) throw new Error(`${job.id} yields, but does not run`)
      const higher = [...model.waiting.values()].some(each => each.tier < job.tier)
      if (!higher) throw new Error(`${job.id} yields, but no higher tier waits`)
      const lower = [...model.running.values()].some(each => each.tier > job.tier && !model.yielding.has(each.id))
      if (lower) throw new Error(`${job.id} yields, though a lower tier runs`)
      model.yielding.add(job.id)
      continue
    }
    if (!model.waiting.delete(job.id)) throw new Error(`${job.id} got a second end`)
    if (effect.effect === 'dispatch') {
      const before = [...model.waiting.values()].find(each => each.tier < job.tier)
      if (before !== undefined) throw new Error(`tier ${job.tier} goes before tier ${before.tier}`)
      model.running.set(job.id, job)
    } else if (effect.reason === 'late' && effect.retryAfterMs <= 0) {
      throw new Error(`${job.id} is refused without a time to come back`)
    }
  }
  if (admission.running.size !== model.running.size) throw new Error('running jobs were lost')
  if (admission.queueLength !== model.waiting.size) throw new Error('waiting jobs were lost')
}

type Command = fc.Command<Model, AdmissionController>

function command (name: string, run: (model: Model, admission: AdmissionController) => Effect[]): Command {
  return {
    check: () => true,
    run: (model, admission) => follow(model, admission, run(model, admission)),
    toString: () => name
  }
}

function pick (model: Model, at: number): string | undefined {
  const ids = [...model.running.keys()]
  return ids[at % Math.max(ids.length, 1)]
}

const job = fc.record({
  tier: fc.integer({ min: 1, max: 4 }),
  preemptionOrder: fc.integer({ min: 0, max: 2 }),
  organisation: fc.constantFrom(...ORGANISATIONS),
  startWithin: fc.constantFrom(200, 1_000, 10_000),
  promptTokens: fc.integer({ min: 1, max: 2_000 }),
  outputTokens: fc.integer({ min: 1, max: 1_000 })
})

const commands = [
  job.map(stated => command(`job of tier ${stated.tier}`, (model, admission) => {
    const id = `job-${model.next++}`
    const { startWithin, ...rest } = stated
    const taken: Job = {
      ...rest, id, className: 'c', arrivedAt: model.now, startBy: model.now + startWithin, finishBy: model.now + 120_000
    }
    model.waiting.set(id, taken)
    return admission.submit(taken, model.now)
  })),
  fc.nat().map(at => command('tokens', (model, admission) => {
    const id = pick(model, at)
    if (id !== undefined) admission.recordTokens(id, 1, model.now)
    return []
  })),
  fc.nat().map(at => command('end', (model, admission) => {
    const id = pick(model, at)
    if (id === undefined) return []
    model.running.delete(id)
    model.yielding.delete(id)
    return admission.remove(id, model.now)
  })),
  fc.nat().map(at => command('caller goes', (model, admission) => {
    const id = [...model.waiting.keys()][at % Math.max(model.waiting.size, 1)]
    if (id === undefined) return []
    model.waiting.delete(id)
    return admission.remove(id, model.now)
  })),
  fc.constantFrom(10, 100, 1_000).map(ms => command(`${ms} ms pass`, (model, admission) => {
    model.now += ms
    return admission.decide(model.now)
  }))
]

describe('admission', () => {
  it('ends every job once, serves tiers in order and lets only lower tiers yield', () => {
    fc.assert(fc.property(fc.commands(commands, { maxCommands: 120, size: 'max' }), sequence => {
      const model = (): Model =>
        ({ now: 1_000_000, next: 0, waiting: new Map(), running: new Map(), yielding: new Set() })
      fc.modelRun(() => ({ model: model(), real: new AdmissionController() }), sequence)
    }), runs(300))
  })
})
