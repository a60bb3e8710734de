/**
 * What control costs an idle host, by the number of hosts: processor time,
 * memory, and writes and reads of the table. Real processes on loopback,
 * within half the machine's memory.
 *
 * Arguments: numbers of hosts; 4, 8 and 16 if none is given.
 */
import { layOut } from '../src/cli/table.js'
import { cpuMs, residentBytes } from '../standins/cpu.js'
import { Deployment } from '../standins/deployment.js'

const MEASURE_MS = 15_000
const SETTLE_MS = 3_000

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** Applies a change and waits until every host has it. */
async function apply (deployment: Deployment): Promise<number> {
  const startedAt = performance.now()
  await deployment.apply('[classes.more]\ntier = 2\nmodel = "m"\nstart_within = "1s"\nfinish_within = "9s"\n')
  await deployment.settle(2)
  return Math.round(performance.now() - startedAt)
}

async function measure (hosts: number): Promise<string[]> {
  const deployment = new Deployment({
    hosts,
    engines: [],
    workers: 0,
    organisations: ['acme'],
    classes: '[classes.plain]\ntier = 1\nmodel = "plain"\nstart_within = "1s"\nfinish_within = "9s"\n'
  })
  try {
    await deployment.start()
    await pause(SETTLE_MS)
    const before = deployment.hosts.map(host => cpuMs(host.child.pid))
    const table = await deployment.control(deployment.platform!, {})
    await pause(MEASURE_MS)
    const after = deployment.hosts.map(host => cpuMs(host.child.pid))
    const tableAfter = await deployment.control(deployment.platform!, {})
    const share = mean(after.map((ms, i) => (ms - before[i]!) / MEASURE_MS * 100))
    const reads = (tableAfter.reads! - table.reads!) / (MEASURE_MS / 1_000)
    const writes = (tableAfter.writes! - table.writes!) / (MEASURE_MS / 1_000)
    const memory = mean(deployment.hosts.map(host => residentBytes(host.child.pid))) / (1 << 20)
    const inForceMs = await apply(deployment)
    return [String(hosts), share.toFixed(2), memory.toFixed(1), (reads / hosts).toFixed(2), writes.toFixed(2),
      String(inForceMs)]
  } finally {
    await deployment.stop()
  }
}

const wanted = process.argv.slice(2).map(Number)
const rows: string[][] = []
for (const hosts of wanted.length > 0 ? wanted : [4, 8, 16]) rows.push(await measure(hosts))
process.stdout.write(`${layOut(['HOSTS', 'CPU % OF A CORE EACH', 'RESIDENT MB EACH', 'TABLE READS A SECOND EACH',
  'TABLE WRITES A SECOND', 'CHANGE IN FORCE EVERYWHERE MS'], rows)}\n`)
