import { VirtualClock } from './clock.js'
import { FixedLimitQueue, LeastReportedLoad, RoundRobin } from './baselines.js'
import { type EngineProfile, SimulatedEngine } from './engine.js'
import { makeTrace, MEAN_REQUEST, type TraceSpec } from './trace.js'
import { ProductPolicy } from './product.js'
import type { Policy, Simulation } from './policy.js'
import { computeMetrics, type RequestMetrics, RequestRecord } from './result.js'

/** Engines of two hardware generations. */
export const ENGINE_PROFILES: readonly EngineProfile[] = [
  { name: 'old-1', maxBatchSize: 24, prefillTokensPerMs: 8, stepMs: 16, stepPerSequenceMs: 0.5 },
  { name: 'old-2', maxBatchSize: 24, prefillTokensPerMs: 8, stepMs: 16, stepPerSequenceMs: 0.5 },
  { name: 'new-1', maxBatchSize: 64, prefillTokensPerMs: 25, stepMs: 9, stepPerSequenceMs: 0.2 },
  { name: 'new-2', maxBatchSize: 64, prefillTokensPerMs: 25, stepMs: 9, stepPerSequenceMs: 0.2 }
]

const LOAD_REPORT_INTERVAL_MS = 2_000
/** Time that a run continues after the end of its trace, so that open requests can end. */
const DRAIN_TIME_S = 90
/** Concurrent requests on each engine in the baseline with a fixed limit. */
const FIXED_CONCURRENCY_LIMIT = 24

/** Schedules faults on the engines of a run; called before the run starts. */
export type FaultInjector = (engines: readonly SimulatedEngine[], clock: VirtualClock) => void

/** Metrics of one run of one policy. Written to the JSON output under these names. */
export interface PolicyOutcome {
  /** Name of the policy. */
  readonly policy: string
  /** Metrics by tier; tier 1 is the first. */
  readonly tiers: readonly RequestMetrics[]
  readonly all: RequestMetrics
  /**
   * Cost of the requests answered within their targets, as a share of the cost of all requests or of what full batches
   * can serve during the trace, whichever is less.
   */
  readonly efficiency: number
  readonly byOrganisation: ReadonlyMap<string, RequestMetrics>
}

/**
 * Time that an engine with a full batch spends on a request, in milliseconds.
 * Decoding steps are shared by the batch; a prompt holds up the whole batch.
 */
function engineTimeMs (profile: EngineProfile, promptTokens: number, outputTokens: number): number {
  const stepMs = profile.stepMs + profile.stepPerSequenceMs * (profile.maxBatchSize - 1)
  return outputTokens * stepMs / profile.maxBatchSize + promptTokens / profile.prefillTokensPerMs
}

/** @returns the mean requests per second that all engines together can serve with full batches */
export function capacityPerSecond (): number {
  return ENGINE_PROFILES.reduce((sum, profile) =>
    sum + 1_000 / engineTimeMs(profile, MEAN_REQUEST.promptTokens, MEAN_REQUEST.outputTokens), 0)
}

/** Cost of a request as a multiple of the cost of a mean request, averaged over the engines. */
function relativeCost (record: RequestRecord): number {
  const { promptTokens, outputTokens } = record.request
  const ratios = ENGINE_PROFILES.map(profile => engineTimeMs(profile, promptTokens, outputTokens) /
    engineTimeMs(profile, MEAN_REQUEST.promptTokens, MEAN_REQUEST.outputTokens))
  return ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length
}

const POLICY_FACTORIES: ReadonlyArray<(simulation: Simulation) => Policy> = [
  simulation => new RoundRobin(simulation),
  simulation => new LeastReportedLoad(simulation),
  simulation => new FixedLimitQueue(simulation, FIXED_CONCURRENCY_LIMIT),
  simulation => new ProductPolicy(simulation)
]

function runPolicy (
  createPolicy: (simulation: Simulation) => Policy, spec: TraceSpec, injectFault: FaultInjector | undefined
): PolicyOutcome {
  const clock = new VirtualClock()
  const engines = ENGINE_PROFILES.map(profile => new SimulatedEngine(profile, clock))
  const trace = makeTrace(spec)
  const records = trace.map(request => new RequestRecord(request))
  const policy = createPolicy({ clock, engines })
  trace.forEach((request, i) => clock.schedule(request.arrivedAt, () => policy.submit(request, records[i]!)))
  const endMs = (spec.durationS + DRAIN_TIME_S) * 1_000
  for (let at = 0; at < endMs; at += LOAD_REPORT_INTERVAL_MS) {
    clock.schedule(at, () => { for (const engine of engines) engine.reportedLoad = engine.load })
  }
  injectFault?.(engines, clock)
  clock.runUntil(endMs)
  return summarise(policy.name, records, spec)
}

function summarise (policy: string, records: readonly RequestRecord[], spec: TraceSpec): PolicyOutcome {
  const organisations = [...new Set(records.map(record => record.request.organisation))].sort()
  const totalCost = (subset: readonly RequestRecord[]): number =>
    subset.reduce((total, record) => total + relativeCost(record), 0)
  const goodCost = totalCost(records.filter(record => record.meetsTargets))
  const achievableCost = Math.min(totalCost(records), capacityPerSecond() * spec.durationS)
  return {
    policy,
    tiers: [1, 2, 3, 4].map(tier =>
      computeMetrics(records.filter(record => record.request.requestClass.tier === tier))),
    all: computeMetrics(records),
    efficiency: goodCost / achievableCost,
    byOrganisation: new Map(organisations.map(name =>
      [name, computeMetrics(records.filter(record => record.request.organisation === name))]))
  }
}

/**
 * Runs all policies on the same trace.
 *
 * @param spec - parameters of the trace
 * @param injectFault - schedules faults in each run; none if absent
 * @returns one outcome per policy; the product's own policy is the last
 */
export function runPolicies (spec: TraceSpec, injectFault?: FaultInjector): PolicyOutcome[] {
  return POLICY_FACTORIES.map(createPolicy => runPolicy(createPolicy, spec, injectFault))
}
