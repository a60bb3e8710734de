/**
 * Benchmark of the scheduling policy: simulates it and the baseline policies
 * under load, in virtual time, and prints tables of metrics. With --json, prints
 * the metrics as JSON; with --own, only the tables of the product's own policy.
 */
import { formatTable } from '../src/cli/table.js'
import { capacityPerSecond, type FaultInjector, type PolicyOutcome, runPolicies } from './run.js'
import type { TraceSpec } from './trace.js'

const SEED = 11
const TRACE_DURATION_S = 120

interface Scenario {
  readonly name: string
  readonly spec: TraceSpec
  readonly injectFault?: FaultInjector
}

/** Parameters of a trace whose request rate is the given multiple of the engines' capacity. */
function specAtLoad (load: number, overrides: Partial<TraceSpec> = {}): TraceSpec {
  return { seed: SEED, durationS: TRACE_DURATION_S, requestsPerSecond: capacityPerSecond() * load, ...overrides }
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'load 0.5', spec: specAtLoad(0.5) },
  { name: 'load 0.9', spec: specAtLoad(0.9) },
  { name: 'load 1.5', spec: specAtLoad(1.5) },
  { name: 'load 3', spec: specAtLoad(3) },
  { name: 'load 3, top tier within capacity', spec: specAtLoad(3, { topTierShare: 0.6 }) },
  {
    name: 'load 1.5, straggler',
    spec: specAtLoad(1.5),
    injectFault: (engines, clock) => clock.schedule(30_000, () => { engines[2]!.stepTimeFactor = 4 })
  },
  {
    name: 'load 0.9, engine dies and returns',
    spec: specAtLoad(0.9),
    injectFault: (engines, clock) => {
      clock.schedule(30_000, () => engines[3]!.crash())
      clock.schedule(75_000, () => engines[3]!.restart())
    }
  },
  {
    name: 'load 0.7, small-1 sends ten times its share for a minute',
    spec: specAtLoad(0.7, { burst: { organisation: 'small-1', fromS: 30, toS: 90, multiplier: 10 } })
  }
]

function tableRows (outcome: PolicyOutcome): string[][] {
  const percent = (share: number): string => (share * 100).toFixed(1)
  const rows = [...outcome.tiers.entries()].map(([i, metrics]): [string, typeof metrics] => [String(i + 1), metrics])
  rows.push(['all', outcome.all])
  return rows.map(([tier, metrics]) => [
    outcome.policy, tier, String(metrics.sent), percent(metrics.good), String(metrics.refused),
    String(metrics.yielded), String(metrics.late), String(metrics.lost), metrics.firstP50.toFixed(0),
    metrics.firstP95.toFixed(0), metrics.firstP99.toFixed(0), metrics.gapP95.toFixed(1),
    String(metrics.unfair), String(metrics.wasted), tier === 'all' ? percent(outcome.efficiency) : ''
  ])
}

const HEADINGS = ['POLICY', 'TIER', 'SENT', 'GOOD %', 'REFUSED', 'YIELDED', 'LATE', 'LOST', 'FIRST P50', 'P95', 'P99',
  'GAP P95', 'UNFAIR', 'WASTED TOKENS', 'GOOD OF POSSIBLE %']

const results = SCENARIOS.map(scenario =>
  ({ name: scenario.name, outcomes: runPolicies(scenario.spec, scenario.injectFault) }))
if (process.argv.includes('--json')) {
  const json = results.map(({ name, outcomes }) => ({
    name,
    outcomes: outcomes.map(outcome =>
      ({ ...outcome, byOrganisation: Object.fromEntries(outcome.byOrganisation) }))
  }))
  process.stdout.write(`${JSON.stringify(json, null, 2)}\n`)
} else {
  const isOwnOnly = process.argv.includes('--own')
  for (const { name, outcomes } of results) {
    const shown = isOwnOnly ? outcomes.slice(-1) : outcomes
    process.stdout.write(`\n${name}\n${formatTable(HEADINGS, shown.flatMap(tableRows))}\n`)
    const ownOutcome = outcomes.at(-1)!
    const shares = [...ownOutcome.byOrganisation].map(([organisation, metrics]) => `${organisation} ${(metrics.good * 100).toFixed(1)}%`)
    process.stdout.write(`good answers by organisation: ${shares.join(', ')}\n`)
  }
}
