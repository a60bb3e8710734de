/** The policy under load, in virtual time, beside baselines. Prints tables; with --json, the figures as JSON. */
import { layOut } from '../src/cli/table.js'
import { type BenchFault, capacity, type Outcome, runAll } from './run.js'
import type { TraceSpec } from './trace.js'

const SEED = 11
const SECONDS = 120

interface Scenario {
  readonly name: string
  readonly spec: TraceSpec
  readonly fault?: BenchFault
}

function at (times: number, more: Partial<TraceSpec> = {}): TraceSpec {
  return { seed: SEED, seconds: SECONDS, requestsPerSecond: capacity() * times, ...more }
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'load 0.5', spec: at(0.5) },
  { name: 'load 0.9', spec: at(0.9) },
  { name: 'load 1.5', spec: at(1.5) },
  { name: 'load 3', spec: at(3) },
  { name: 'load 3, top tier within capacity', spec: at(3, { topShare: 0.6 }) },
  {
    name: 'load 1.5, straggler',
    spec: at(1.5),
    fault: (engines, agenda) => agenda.plan(30_000, () => { engines[2]!.slow = 4 })
  },
  {
    name: 'load 0.9, engine dies and returns',
    spec: at(0.9),
    fault: (engines, agenda) => {
      agenda.plan(30_000, () => engines[3]!.die())
      agenda.plan(75_000, () => engines[3]!.revive())
    }
  },
  {
    name: 'load 0.7, small-1 sends ten times its share for a minute',
    spec: at(0.7, { burst: { organisation: 'small-1', fromS: 30, toS: 90, times: 10 } })
  }
]

function rowsOf (outcome: Outcome): string[][] {
  const percent = (share: number): string => (share * 100).toFixed(1)
  const rows = [...outcome.tiers.entries()].map(([i, f]): [string, typeof f] => [String(i + 1), f])
  rows.push(['all', outcome.all])
  return rows.map(([tier, f]) => [
    outcome.policy, tier, String(f.sent), percent(f.good), String(f.refused), String(f.yielded), String(f.late),
    String(f.lost), f.firstP50.toFixed(0), f.firstP95.toFixed(0), f.firstP99.toFixed(0), f.gapP95.toFixed(1),
    String(f.unfair), String(f.wasted), tier === 'all' ? percent(outcome.efficiency) : ''
  ])
}

const HEADINGS = ['POLICY', 'TIER', 'SENT', 'GOOD %', 'REFUSED', 'YIELDED', 'LATE', 'LOST', 'FIRST P50', 'P95', 'P99',
  'GAP P95', 'UNFAIR', 'WASTED TOKENS', 'GOOD OF POSSIBLE %']

const results = SCENARIOS.map(scenario => ({ name: scenario.name, outcomes: runAll(scenario.spec, scenario.fault) }))
if (process.argv.includes('--json')) {
  const json = results.map(({ name, outcomes }) => ({
    name, outcomes: outcomes.map(each => ({ ...each, byOrganisation: Object.fromEntries(each.byOrganisation) }))
  }))
  process.stdout.write(`${JSON.stringify(json, null, 2)}\n`)
} else {
  const only = process.argv.includes('--own')
  for (const { name, outcomes } of results) {
    const shown = only ? outcomes.slice(-1) : outcomes
    process.stdout.write(`\n${name}\n${layOut(HEADINGS, shown.flatMap(rowsOf))}\n`)
    const own = outcomes.at(-1)!
    const shares = [...own.byOrganisation].map(([org, f]) => `${org} ${(f.good * 100).toFixed(1)}%`)
    process.stdout.write(`good answers by organisation: ${shares.join(', ')}\n`)
  }
}
