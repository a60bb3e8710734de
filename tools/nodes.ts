/**
 * Measures the control-plane cost of an idle host by the number of hosts:
 * processor time, memory, and reads and writes of the table. Uses real processes
 * on loopback; the numbers of hosts must fit into half the machine's memory.
 *
 * Arguments: numbers of hosts; 4, 8 and 16 if none is given.
 */
import { formatTable } from '../src/cli/table.js'
import { cpuTimeMs, residentBytes } from '../standins/procfs.js'
import { Deployment } from '../standins/deployment.js'

const MEASURE_MS = 15_000
const SETTLE_MS = 3_000

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** Applies a configuration change and measures the time until every host uses it, in milliseconds. */
async function measureChangeMs (deployment: Deployment): Promise<number> {
  const startedAt = performance.now()
  await deployment.applyConfiguration('[classes.more]\ntier = 2\nmodel = "m"\nstart_within = "1s"\nfinish_within = "9s"\n')
  await deployment.waitUntilReady(2)
  return Math.round(performance.now() - startedAt)
}

/** Measures a new deployment and returns its table row. */
async function measure (hostCount: number): Promise<string[]> {
  const deployment = new Deployment({
    hosts: hostCount,
    engines: [],
    workers: 0,
    organisations: ['acme'],
    classes: '[classes.plain]\ntier = 1\nmodel = "plain"\nstart_within = "1s"\nfinish_within = "9s"\n'
  })
  try {
    await deployment.start()
    await pause(SETTLE_MS)
    const cpuBefore = deployment.hosts.map(host => cpuTimeMs(host.child.pid))
    const tableBefore = await deployment.setFaults(deployment.platform!, {})
    await pause(MEASURE_MS)
    const cpuAfter = deployment.hosts.map(host => cpuTimeMs(host.child.pid))
    const tableAfter = await deployment.setFaults(deployment.platform!, {})
    const cpuPercent = mean(cpuAfter.map((ms, i) => (ms - cpuBefore[i]!) / MEASURE_MS * 100))
    const readsPerSecond = (tableAfter.reads! - tableBefore.reads!) / (MEASURE_MS / 1_000)
    const writesPerSecond = (tableAfter.writes! - tableBefore.writes!) / (MEASURE_MS / 1_000)
    const residentMb = mean(deployment.hosts.map(host => residentBytes(host.child.pid))) / (1 << 20)
    const changeMs = await measureChangeMs(deployment)
    return [String(hostCount), cpuPercent.toFixed(2), residentMb.toFixed(1), (readsPerSecond / hostCount).toFixed(2),
      writesPerSecond.toFixed(2), String(changeMs)]
  } finally {
    await deployment.stop()
  }
}

const requestedCounts = process.argv.slice(2).map(Number)
const rows: string[][] = []
for (const hostCount of requestedCounts.length > 0 ? requestedCounts : [4, 8, 16]) rows.push(await measure(hostCount))
process.stdout.write(`${formatTable(['HOSTS', 'CPU % OF A CORE EACH', 'RESIDENT MB EACH', 'TABLE READS A SECOND EACH',
  'TABLE WRITES A SECOND', 'CHANGE IN FORCE EVERYWHERE MS'], rows)}\n`)
