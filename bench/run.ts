import { Agenda } from './clock.js'
import { FirstCome, LeastReported, RoundRobin } from './baselines.js'
import { FakeEngine, type Make } from './engine.js'
import { makeTrace, MEANS, type TraceSpec } from './trace.js'
import { Own } from './product.js'
import type { Policy, Scene } from './policy.js'
import { type Figures, figuresOf, Note } from './result.js'

/** Engines of two hardware generations. */
export const MAKES: readonly Make[] = [
  { name: 'old-1', batch: 24, prefillPerMs: 8, stepMs: 16, stepPerSequenceMs: 0.5 },
  { name: 'old-2', batch: 24, prefillPerMs: 8, stepMs: 16, stepPerSequenceMs: 0.5 },
  { name: 'new-1', batch: 64, prefillPerMs: 25, stepMs: 9, stepPerSequenceMs: 0.2 },
  { name: 'new-2', batch: 64, prefillPerMs: 25, stepMs: 9, stepPerSequenceMs: 0.2 }
]

const REPORT_LAG_MS = 2_000
const DRAIN_S = 90
const FIRST_COME_LIMIT = 24

/** A fault during a run. */
export type BenchFault = (engines: readonly FakeEngine[], agenda: Agenda) => void

/** One run of one policy. */
export interface Outcome {
  readonly policy: string
  readonly tiers: readonly Figures[]
  readonly all: Figures
  /** Work of good answers, as a share of what was asked or, if that is less, of what full batches could do. */
  readonly efficiency: number
  readonly byOrganisation: ReadonlyMap<string, Figures>
}

/** Time that an engine with a full batch spends on a request, in milliseconds. A prompt holds up the whole batch. */
function costOn (make: Make, prompt: number, length: number): number {
  const stepMs = make.stepMs + make.stepPerSequenceMs * (make.batch - 1)
  return length * stepMs / make.batch + prompt / make.prefillPerMs
}

/** Requests a second that the engines could serve at full batches. */
export function capacity (): number {
  return MAKES.reduce((sum, make) => sum + 1_000 / costOn(make, MEANS.prompt, MEANS.length), 0)
}

/** What a request costs, as a multiple of what a mean one does. */
function workOf (note: Note): number {
  const { prompt, length } = note.request
  const shares = MAKES.map(make => costOn(make, prompt, length) / costOn(make, MEANS.prompt, MEANS.length))
  return shares.reduce((sum, share) => sum + share, 0) / shares.length
}

const POLICIES: ReadonlyArray<(scene: Scene) => Policy> = [
  scene => new RoundRobin(scene),
  scene => new LeastReported(scene),
  scene => new FirstCome(scene, FIRST_COME_LIMIT),
  scene => new Own(scene)
]

function runPolicy (open: (scene: Scene) => Policy, spec: TraceSpec, fault: BenchFault | undefined): Outcome {
  const agenda = new Agenda()
  const engines = MAKES.map(make => new FakeEngine(make, agenda))
  const trace = makeTrace(spec)
  const notes = trace.map(request => new Note(request))
  const policy = open({ agenda, engines })
  trace.forEach((request, i) => agenda.plan(request.at, () => policy.take(request, notes[i]!)))
  const endMs = (spec.seconds + DRAIN_S) * 1_000
  for (let at = 0; at < endMs; at += REPORT_LAG_MS) {
    agenda.plan(at, () => { for (const engine of engines) engine.report = engine.load })
  }
  fault?.(engines, agenda)
  agenda.run(endMs)
  return summarise(policy.name, notes, spec)
}

function summarise (policy: string, notes: readonly Note[], spec: TraceSpec): Outcome {
  const organisations = [...new Set(notes.map(note => note.request.organisation))].sort()
  const sum = (list: readonly Note[]): number => list.reduce((total, note) => total + workOf(note), 0)
  const served = sum(notes.filter(note => note.isGood))
  const possible = Math.min(sum(notes), capacity() * spec.seconds)
  return {
    policy,
    tiers: [1, 2, 3, 4].map(tier => figuresOf(notes.filter(note => note.request.kind.tier === tier))),
    all: figuresOf(notes),
    efficiency: served / possible,
    byOrganisation: new Map(organisations.map(name =>
      [name, figuresOf(notes.filter(note => note.request.organisation === name))]))
  }
}

/**
 * Runs all policies on the same trace.
 *
 * @param spec - the trace
 * @param fault - a fault brought about in each run
 * @returns one outcome a policy; the product's own is the last
 */
export function runAll (spec: TraceSpec, fault?: BenchFault): Outcome[] {
  return POLICIES.map(open => runPolicy(open, spec, fault))
}
