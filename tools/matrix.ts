/**
 * The fault matrix: sends a mixed load to real processes while injecting one
 * fault at a time, and checks the results against a test oracle. Runs for a
 * bounded time. The exit status is 1 if the oracle found a violation.
 *
 * Arguments: names of faults to inject; all if none is given.
 */
import { formatTable } from '../src/cli/table.js'
import { Deployment } from '../standins/deployment.js'
import { countFailureReasons, type Load, sendLoad } from '../standins/load.js'
import { checkHistories, type CheckResult } from '../standins/oracle.js'
import type { RequestHistory } from '../standins/history.js'
import { REBALANCE_SETTLE_MS } from '../src/member/index.js'
import { type Fault, FAULTS } from './faults.js'

const HOST_COUNT = 5
const FAULT_AT_MS = 2_500
const LOAD: Load = {
  drafts: 120,
  calls: 60,
  reads: 40,
  spreadMs: 10_000,
  tokens: 40,
  organisations: ['acme', 'bravo'],
  className: 'summary',
  retryPolicy: { maxAttempts: 6, retryDelayMs: 3_500 }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/** Checks the requests of each kind and builds their table rows. Prints the reasons why attempts were not answered. */
function buildReport (fault: string, histories: readonly RequestHistory[], runCounts: ReadonlyMap<string, number>):
{ rows: string[][], violations: readonly string[] } {
  const kinds = ['draft', 'call', 'read'] as const
  const results = kinds.map((kind): [string, CheckResult] =>
    [kind, checkHistories(histories.filter(history => history.kind === kind), runCounts)])
  const rows = results.map(([kind, result]) => [
    fault, kind, ...[result.requests, result.answeredByFirstAttempt, result.answeredByRetry, result.notRun,
      result.unknown, result.broken, result.slowestMs, result.violations.length].map(String)
  ])
  for (const [reason, count] of countFailureReasons(histories)) process.stdout.write(`  ${count} x ${reason}\n`)
  return { rows, violations: results.flatMap(([, result]) => result.violations) }
}

/** Runs the load on a new deployment while injecting one fault. */
async function runWithFault (name: string, fault: Fault): Promise<{ rows: string[][], violations: readonly string[] }> {
  const deployment = new Deployment({
    hosts: HOST_COUNT,
    engines: ['quick', 'middle', 'slow'].map((engine, i) => ({
      name: engine, models: ['plain'], dataCentre: 'north', maxBatchSize: 16, stepMs: 8 + 6 * i, stepPerSequenceMs: 0.2, prefillTokensPerMs: 10
    })),
    workers: 3,
    organisations: LOAD.organisations,
    classes: '[classes.summary]\ntier = 2\nmodel = "plain"\nstart_within = "10s"\nfinish_within = "60s"\n',
    supportsPartitions: true
  })
  try {
    await deployment.start()
    // Until records are at their new replicas, a crash of two hosts counts as a possible loss of almost every record.
    if (name.includes('two')) await pause(REBALANCE_SETTLE_MS)
    const injection = pause(FAULT_AT_MS).then(async () => await fault(deployment))
    const [histories] = await Promise.all([sendLoad(deployment, LOAD, 'm'), injection])
    const runCounts = await deployment.collectRunCounts([...deployment.engines, ...deployment.workers])
    return buildReport(name, histories, runCounts)
  } finally {
    await deployment.stop()
  }
}

const requestedNames = process.argv.slice(2)
const names = requestedNames.length > 0 ? requestedNames : Object.keys(FAULTS)
const allRows: string[][] = []
let violationCount = 0
for (const name of names) {
  const fault = FAULTS[name]
  if (fault === undefined) throw new Error(`unknown fault "${name}"; known faults: ${Object.keys(FAULTS).join(', ')}`)
  const result = await runWithFault(name, fault)
  allRows.push(...result.rows)
  violationCount += result.violations.length
  for (const violation of result.violations) process.stdout.write(`FAULT under ${name}: ${violation}\n`)
  process.stdout.write(`${name}: ${result.violations.length === 0 ? 'held' : 'BROKEN'}\n`)
}
process.stdout.write(`\n${formatTable(['FAULT', 'KIND', 'SENT', 'ANSWERED AT ONCE', 'AFTER RESENDING', 'NOT RUN', 'UNKNOWN',
  'BROKEN', 'SLOWEST MS', 'VIOLATIONS'], allRows)}\n`)
process.exitCode = violationCount === 0 ? 0 : 1
