/**
 * What the way through two hosts costs, against the engine stand-in directly:
 * time to first token, requests a second and processor time a token event.
 * Real processes on loopback; bounded in count and time.
 */
import { performance } from 'node:perf_hooks'
import { request } from 'undici'
import { layOut } from '../src/cli/table.js'
import { send } from '../standins/caller.js'
import { cpuMs } from '../standins/cpu.js'
import { Deployment, type Node } from '../standins/deployment.js'

const WARM_UP = 100
const SAMPLES = 400
const FLOOD = 2_000
const FLOOD_CONCURRENCY = 24
const STREAMS = 24
const STREAM_TOKENS = 1_500

const deployment = new Deployment({
  hosts: 3,
  engines: [{
    name: 'fast', models: ['plain'], dataCentre: 'north', batch: 64, step: 1, stepPerSequence: 0, prefill: 1_000
  }],
  workers: 0,
  organisations: ['acme'],
  classes: '[classes.plain]\ntier = 1\nmodel = "plain"\nstart_within = "10s"\nfinish_within = "60s"\n'
})

function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

async function direct (engine: Node): Promise<number> {
  const startedAt = performance.now()
  const body = JSON.stringify({ input: 'x', stream: true, max_output_tokens: 1 })
  const response = await request(`http://127.0.0.1:${engine.port}/v1/responses`, { method: 'POST', body })
  let first = 0
  for await (const bytes of response.body) {
    if (first === 0 && String(bytes).includes('delta')) first = performance.now() - startedAt
  }
  return first
}

async function through (port: number, i: number, key: string | undefined, tokens = 1): Promise<number> {
  const got = await send(port, {
    organisation: 'acme', className: 'plain', input: 'x', tokens, nonce: `n${i}`, ...(key === undefined ? {} : { key })
  })
  if (got.outcome !== 'answered') throw new Error(`not answered: ${got.outcome} ${got.reason}`)
  return got.firstMs
}

/** The host that owns the engine, and one that does not. */
async function sides (): Promise<{ owner: Node, entry: Node }> {
  for (const owner of deployment.hosts) {
    const state = JSON.parse((await deployment.admin(owner, 'GET', '/dump')).body) as { owned: unknown[] }
    if (state.owned.length > 0) return { owner, entry: deployment.hosts.find(each => each !== owner)! }
  }
  throw new Error('no host owns the engine')
}

async function firstToken (owner: Node, entry: Node): Promise<string[][]> {
  const engine = deployment.engines[0]!
  const figures = { direct: [] as number[], local: [] as number[], two: [] as number[], keyed: [] as number[] }
  for (let i = 0; i < WARM_UP + SAMPLES; i++) {
    const round = [
      await direct(engine), await through(owner.port, i, undefined),
      await through(entry.port, i, undefined), await through(entry.port, i, `key-${i}`)
    ]
    if (i < WARM_UP) continue
    figures.direct.push(round[0]!)
    figures.local.push(round[1]!)
    figures.two.push(round[2]!)
    figures.keyed.push(round[3]!)
  }
  const base = quantile(figures.direct, 0.5)
  return Object.entries(figures).map(([name, values]) => [
    name, quantile(values, 0.5).toFixed(2), quantile(values, 0.99).toFixed(2), (quantile(values, 0.5) - base).toFixed(2)
  ])
}

async function flood (owner: Node, entry: Node): Promise<string[]> {
  const before = [cpuMs(entry.child.pid), cpuMs(owner.child.pid)]
  const startedAt = performance.now()
  let next = 0
  await Promise.all(Array.from({ length: FLOOD_CONCURRENCY }, async () => {
    while (next < FLOOD) await through(entry.port, next++, undefined)
  }))
  const seconds = (performance.now() - startedAt) / 1_000
  const entryMs = cpuMs(entry.child.pid) - before[0]!
  const ownerMs = cpuMs(owner.child.pid) - before[1]!
  return [(FLOOD / seconds).toFixed(0), (entryMs / FLOOD).toFixed(2), (ownerMs / FLOOD).toFixed(2),
    (FLOOD / (entryMs + ownerMs) * 1_000).toFixed(0)]
}

async function relay (owner: Node, entry: Node): Promise<string[]> {
  const before = [cpuMs(entry.child.pid), cpuMs(owner.child.pid)]
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: STREAMS }, async (_, i) =>
    await through(entry.port, i, undefined, STREAM_TOKENS)))
  const seconds = (performance.now() - startedAt) / 1_000
  const events = STREAMS * STREAM_TOKENS
  const entryMs = cpuMs(entry.child.pid) - before[0]!
  const ownerMs = cpuMs(owner.child.pid) - before[1]!
  return [(events / seconds).toFixed(0), (entryMs * 1_000 / events).toFixed(1), (ownerMs * 1_000 / events).toFixed(1)]
}

try {
  await deployment.start()
  const { owner, entry } = await sides()
  const first = await firstToken(owner, entry)
  process.stdout.write(`${layOut(['FIRST TOKEN BY WAY OF', 'P50 MS', 'P99 MS', 'ADDED P50 MS'], first)}\n\n`)
  const load = await flood(owner, entry)
  process.stdout.write(`${layOut(
    ['REQUESTS A SECOND', 'ENTRY CPU MS A REQUEST', 'OWNER CPU MS A REQUEST', 'REQUESTS A SECOND A CORE'], [load])}\n\n`)
  const events = await relay(owner, entry)
  process.stdout.write(`${layOut(
    ['TOKEN EVENTS A SECOND', 'ENTRY CPU US AN EVENT', 'OWNER CPU US AN EVENT'], [events])}\n`)
} finally {
  await deployment.stop()
}
