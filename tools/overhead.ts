/**
 * Measures the overhead of a request that passes through two hosts, compared
 * with a direct request to the engine stand-in: time to first token, requests
 * per second and processor time per token event. Uses real processes on
 * loopback, with a fixed number of requests.
 */
import { performance } from 'node:perf_hooks'
import { request } from 'undici'
import { formatTable } from '../src/cli/table.js'
import { sendRequest } from '../standins/caller.js'
import { cpuTimeMs } from '../standins/procfs.js'
import { type DeployedProcess, Deployment } from '../standins/deployment.js'

const WARM_UP_ROUNDS = 100
const SAMPLE_ROUNDS = 400
const THROUGHPUT_REQUEST_COUNT = 2_000
const THROUGHPUT_CONCURRENCY = 24
const STREAM_COUNT = 24
const STREAM_TOKENS = 1_500

const deployment = new Deployment({
  hosts: 3,
  engines: [{
    name: 'fast', models: ['plain'], dataCentre: 'north', maxBatchSize: 64, stepMs: 1, stepPerSequenceMs: 0, prefillTokensPerMs: 1_000
  }],
  workers: 0,
  organisations: ['acme'],
  classes: '[classes.plain]\ntier = 1\nmodel = "plain"\nstart_within = "10s"\nfinish_within = "60s"\n'
})

function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Sends a request directly to the engine and returns the time to its first token, in milliseconds. */
async function sendDirect (engine: DeployedProcess): Promise<number> {
  const startedAt = performance.now()
  const body = JSON.stringify({ input: 'x', stream: true, max_output_tokens: 1 })
  const response = await request(`http://127.0.0.1:${engine.port}/v1/responses`, { method: 'POST', body })
  let firstTokenMs = 0
  for await (const bytes of response.body) {
    if (firstTokenMs === 0 && String(bytes).includes('delta')) firstTokenMs = performance.now() - startedAt
  }
  return firstTokenMs
}

/** Sends a request through a host and returns the time to its first token, in milliseconds. */
async function sendThrough (port: number, i: number, key: string | undefined, tokens = 1): Promise<number> {
  const result = await sendRequest(port, {
    organisation: 'acme', className: 'plain', input: 'x', tokens, nonce: `n${i}`, ...(key === undefined ? {} : { key })
  })
  if (result.outcome !== 'answered') throw new Error(`request was not answered: ${result.outcome} ${result.reason}`)
  return result.timeToFirstTokenMs
}

/** Finds the host that owns the engine, and an entry host that does not. */
async function findOwnerAndEntry (): Promise<{ owner: DeployedProcess, entry: DeployedProcess }> {
  for (const owner of deployment.hosts) {
    const state = JSON.parse((await deployment.callAdmin(owner, 'GET', '/dump')).body) as { owned: unknown[] }
    if (state.owned.length > 0) return { owner, entry: deployment.hosts.find(each => each !== owner)! }
  }
  throw new Error('no host owns the engine')
}

/** Measures the time to first token: direct, through the owner, through two hosts without and with a key. */
async function measureFirstToken (owner: DeployedProcess, entry: DeployedProcess): Promise<string[][]> {
  const engine = deployment.engines[0]!
  const samples = { direct: [] as number[], local: [] as number[], two: [] as number[], keyed: [] as number[] }
  for (let i = 0; i < WARM_UP_ROUNDS + SAMPLE_ROUNDS; i++) {
    const timesMs = [
      await sendDirect(engine), await sendThrough(owner.port, i, undefined),
      await sendThrough(entry.port, i, undefined), await sendThrough(entry.port, i, `key-${i}`)
    ]
    if (i < WARM_UP_ROUNDS) continue
    samples.direct.push(timesMs[0]!)
    samples.local.push(timesMs[1]!)
    samples.two.push(timesMs[2]!)
    samples.keyed.push(timesMs[3]!)
  }
  const directP50 = quantile(samples.direct, 0.5)
  return Object.entries(samples).map(([name, values]) => [
    name, quantile(values, 0.5).toFixed(2), quantile(values, 0.99).toFixed(2),
    (quantile(values, 0.5) - directP50).toFixed(2)
  ])
}

/** Measures requests per second, and processor time per request on each of the two hosts. */
async function measureThroughput (owner: DeployedProcess, entry: DeployedProcess): Promise<string[]> {
  const cpuBefore = [cpuTimeMs(entry.child.pid), cpuTimeMs(owner.child.pid)]
  const startedAt = performance.now()
  let nextIndex = 0
  await Promise.all(Array.from({ length: THROUGHPUT_CONCURRENCY }, async () => {
    while (nextIndex < THROUGHPUT_REQUEST_COUNT) await sendThrough(entry.port, nextIndex++, undefined)
  }))
  const seconds = (performance.now() - startedAt) / 1_000
  const entryMs = cpuTimeMs(entry.child.pid) - cpuBefore[0]!
  const ownerMs = cpuTimeMs(owner.child.pid) - cpuBefore[1]!
  return [
    (THROUGHPUT_REQUEST_COUNT / seconds).toFixed(0), (entryMs / THROUGHPUT_REQUEST_COUNT).toFixed(2),
    (ownerMs / THROUGHPUT_REQUEST_COUNT).toFixed(2), (THROUGHPUT_REQUEST_COUNT / (entryMs + ownerMs) * 1_000).toFixed(0)
  ]
}

/** Measures token events per second, and processor time per event on each of the two hosts. */
async function measureStreaming (owner: DeployedProcess, entry: DeployedProcess): Promise<string[]> {
  const cpuBefore = [cpuTimeMs(entry.child.pid), cpuTimeMs(owner.child.pid)]
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: STREAM_COUNT }, async (_, i) =>
    await sendThrough(entry.port, i, undefined, STREAM_TOKENS)))
  const seconds = (performance.now() - startedAt) / 1_000
  const events = STREAM_COUNT * STREAM_TOKENS
  const entryMs = cpuTimeMs(entry.child.pid) - cpuBefore[0]!
  const ownerMs = cpuTimeMs(owner.child.pid) - cpuBefore[1]!
  return [(events / seconds).toFixed(0), (entryMs * 1_000 / events).toFixed(1), (ownerMs * 1_000 / events).toFixed(1)]
}

try {
  await deployment.start()
  const { owner, entry } = await findOwnerAndEntry()
  const firstTokenRows = await measureFirstToken(owner, entry)
  process.stdout.write(`${formatTable(['FIRST TOKEN BY WAY OF', 'P50 MS', 'P99 MS', 'ADDED P50 MS'], firstTokenRows)}\n\n`)
  const throughputRow = await measureThroughput(owner, entry)
  process.stdout.write(`${formatTable(
    ['REQUESTS A SECOND', 'ENTRY CPU MS A REQUEST', 'OWNER CPU MS A REQUEST', 'REQUESTS A SECOND A CORE'], [throughputRow])}\n\n`)
  const streamingRow = await measureStreaming(owner, entry)
  process.stdout.write(`${formatTable(
    ['TOKEN EVENTS A SECOND', 'ENTRY CPU US AN EVENT', 'OWNER CPU US AN EVENT'], [streamingRow])}\n`)
} finally {
  await deployment.stop()
}
