/**
 * The fault matrix: a mixed load over real processes while faults are brought
 * about, and an oracle's verdict on each. Bounded in time.
 *
 * Arguments: names of faults to bring about; all if none is given.
 */
import { layOut } from '../src/cli/table.js'
import { Deployment } from '../standins/deployment.js'
import { judge, type Verdict } from '../standins/oracle.js'
import { type Story, tellCall, tellDraft, tellRead } from '../standins/story.js'
import { FAULTS, type Fault } from './faults.js'

const HOSTS = 5
const DRAFTS = 120
const CALLS = 60
const READS = 40
const SPREAD_MS = 10_000
const FAULT_AT_MS = 2_500
const TOKENS = 40
const PATIENCE = { tries: 6, pauseMs: 1_500 }
const ORGANISATIONS = ['acme', 'bravo']

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

async function load (deployment: Deployment): Promise<Story[]> {
  const route = (first: number) => (attempt: number): number => {
    const ready = deployment.hosts.filter(host => host.child.isRunning)
    return ready[(first + attempt) % ready.length]!.port
  }
  const drafts = Array.from({ length: DRAFTS }, async (_, i) => {
    await pause(i * SPREAD_MS / DRAFTS)
    return await tellDraft({
      organisation: ORGANISATIONS[i % 2]!,
      className: 'summary',
      input: `draft ${i}`,
      tokens: TOKENS,
      nonce: `draft-${i}`,
      key: `key-${i}`
    }, route(i), PATIENCE)
  })
  const calls = Array.from({ length: CALLS }, async (_, i) => {
    await pause(i * SPREAD_MS / CALLS)
    return await tellCall(ORGANISATIONS[i % 2]!, `call-${i}`, route(i), PATIENCE)
  })
  const reads = Array.from({ length: READS }, async (_, i) => {
    await pause(i * SPREAD_MS / READS)
    return await tellRead(ORGANISATIONS[i % 2]!, `read-${i}`, route(i), PATIENCE)
  })
  return await Promise.all([...drafts, ...calls, ...reads])
}

function rowsOf (fault: string, stories: readonly Story[], runs: ReadonlyMap<string, number>):
{ rows: string[][], faults: readonly string[] } {
  const kinds = ['draft', 'call', 'read'] as const
  const verdicts = kinds.map((kind): [string, Verdict] =>
    [kind, judge(stories.filter(story => story.kind === kind), runs)])
  const rows = verdicts.map(([kind, v]) => [
    fault, kind, ...[v.requests, v.answeredFirst, v.answeredLater, v.notRun, v.unknown, v.broken, v.slowestMs,
      v.faults.length].map(String)
  ])
  return { rows, faults: verdicts.flatMap(([, v]) => v.faults) }
}

async function bring (name: string, fault: Fault): Promise<{ rows: string[][], faults: readonly string[] }> {
  const deployment = new Deployment({
    hosts: HOSTS,
    engines: ['quick', 'middle', 'slow'].map((engine, i) => ({
      name: engine, models: ['plain'], dataCentre: 'north', batch: 16, step: 8 + 6 * i, stepPerSequence: 0.2, prefill: 10
    })),
    workers: 3,
    organisations: ORGANISATIONS,
    classes: '[classes.summary]\ntier = 2\nmodel = "plain"\nstart_within = "10s"\nfinish_within = "60s"\n',
    cuttable: true
  })
  try {
    await deployment.start()
    const brought = pause(FAULT_AT_MS).then(async () => await fault(deployment))
    const [stories] = await Promise.all([load(deployment), brought])
    const runs = await deployment.runs([...deployment.engines, ...deployment.workers])
    return rowsOf(name, stories, runs)
  } finally {
    await deployment.stop()
  }
}

const wanted = process.argv.slice(2)
const names = wanted.length > 0 ? wanted : Object.keys(FAULTS)
const all: string[][] = []
let faults = 0
for (const name of names) {
  const fault = FAULTS[name]
  if (fault === undefined) throw new Error(`there is no fault "${name}"; known: ${Object.keys(FAULTS).join(', ')}`)
  const result = await bring(name, fault)
  all.push(...result.rows)
  faults += result.faults.length
  for (const line of result.faults) process.stdout.write(`FAULT under ${name}: ${line}\n`)
  process.stdout.write(`${name}: ${result.faults.length === 0 ? 'held' : 'BROKEN'}\n`)
}
process.stdout.write(`\n${layOut(['FAULT', 'KIND', 'SENT', 'ANSWERED AT ONCE', 'AFTER RESENDING', 'NOT RUN', 'UNKNOWN',
  'BROKEN', 'SLOWEST MS', 'VIOLATIONS'], all)}\n`)
process.exitCode = faults === 0 ? 0 : 1
