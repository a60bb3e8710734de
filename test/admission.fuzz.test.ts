import { describe, it } from 'node:test'
import fc from 'fast-check'
import { AdmissionController, type Effect, type Job } from '../src/admission/index.js'
import { fuzzParameters } from './fuzzparameters.js'

/** State of the oracle: the simulated time and the jobs that are waiting, running or preempted. */
interface Model {
  now: number
  nextJobNumber: number
  readonly waiting: Map<string, Job>
  readonly running: Map<string, Job>
  /** Running jobs that were asked to stop for a job of a higher tier. */
  readonly preempted: Set<string>
}

const ORGANISATIONS = ['a', 'b', 'c']

/** Checks that the effects are allowed, and applies them to the model. */
function applyEffects (model: Model, admission: AdmissionController, effects: readonly Effect[]): void {
  for (const effect of effects) {
    const { job } = effect
    if (effect.effect === 'yield') {
      if (!model.running.has(job.id) || model.preempted.has(job.id)) throw new Error(`${job.id} preempted, not running`)
      const isHigherWaiting = [...model.waiting.values()].some(each => each.tier < job.tier)
      if (!isHigherWaiting) throw new Error(`${job.id} preempted, although no higher tier was waiting`)
      const isLowerRunning = [...model.running.values()]
        .some(each => each.tier > job.tier && !model.preempted.has(each.id))
      if (isLowerRunning) throw new Error(`${job.id} preempted, although a lower tier was running`)
      model.preempted.add(job.id)
      continue
    }
    if (!model.waiting.delete(job.id)) throw new Error(`${job.id} was dispatched or refused, but was not waiting`)
    if (effect.effect === 'dispatch') {
      const skipped = [...model.waiting.values()].find(each => each.tier < job.tier)
      if (skipped !== undefined) throw new Error(`tier ${job.tier} was dispatched before tier ${skipped.tier}`)
      model.running.set(job.id, job)
    } else if (effect.reason === 'late' && effect.retryAfterMs <= 0) {
      throw new Error(`${job.id} was refused as late without a positive retryAfterMs`)
    }
  }
  if (admission.running.size !== model.running.size) throw new Error('number of running jobs differs from the model')
  if (admission.queueLength !== model.waiting.size) throw new Error('number of waiting jobs differs from the model')
}

type Command = fc.Command<Model, AdmissionController>

function command (name: string, run: (model: Model, admission: AdmissionController) => Effect[]): Command {
  return {
    check: () => true,
    run: (model, admission) => applyEffects(model, admission, run(model, admission)),
    toString: () => name
  }
}

/** Chooses one of the running jobs, if there is any. */
function pickRunning (model: Model, index: number): string | undefined {
  const ids = [...model.running.keys()]
  return ids[index % Math.max(ids.length, 1)]
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
  job.map(spec => command(`submit a job of tier ${spec.tier}`, (model, admission) => {
    const id = `job-${model.nextJobNumber++}`
    const { startWithin, ...rest } = spec
    const submitted: Job = {
      ...rest, id, className: 'c', arrivedAt: model.now, startBy: model.now + startWithin, finishBy: model.now + 120_000
    }
    model.waiting.set(id, submitted)
    return admission.submit(submitted, model.now)
  })),
  fc.nat().map(index => command('record a token of a running job', (model, admission) => {
    const id = pickRunning(model, index)
    if (id !== undefined) admission.recordTokens(id, 1, model.now)
    return []
  })),
  fc.nat().map(index => command('end a running job', (model, admission) => {
    const id = pickRunning(model, index)
    if (id === undefined) return []
    model.running.delete(id)
    model.preempted.delete(id)
    return admission.remove(id, model.now)
  })),
  fc.nat().map(index => command('cancel a waiting job', (model, admission) => {
    const id = [...model.waiting.keys()][index % Math.max(model.waiting.size, 1)]
    if (id === undefined) return []
    model.waiting.delete(id)
    return admission.remove(id, model.now)
  })),
  fc.constantFrom(10, 100, 1_000).map(ms => command(`advance by ${ms} ms`, (model, admission) => {
    model.now += ms
    return admission.decide(model.now)
  }))
]

describe('AdmissionController', () => {
  it('dispatches or refuses every job once, serves tiers in order and preempts only jobs of lower tiers', () => {
    fc.assert(fc.property(fc.commands(commands, { maxCommands: 120, size: 'max' }), sequence => {
      const model = (): Model =>
        ({ now: 1_000_000, nextJobNumber: 0, waiting: new Map(), running: new Map(), preempted: new Set() })
      fc.modelRun(() => ({ model: model(), real: new AdmissionController() }), sequence)
    }), fuzzParameters(300))
  })
})
