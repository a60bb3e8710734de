/**
 * The main job on embedded stand-ins: several hosts, engines of unlike speed
 * and a plain service, each a process of its own, under a mixed load.
 */
import { textOf } from '../standins/batch.js'
import { type Ask, callService, type Got, send } from '../standins/caller.js'
import { Deployment } from '../standins/deployment.js'
import { layOut } from '../src/cli/table.js'

const REQUESTS = 200
const CALLS = 60
const SPREAD_MS = 8_000
const ORGANISATIONS = ['legal-centre', 'registry', 'volunteers', 'kiosks', 'venues']

const CLASSES = `
[classes.affidavit]
tier = 1
model = "drafter"
start_within = "2s"
finish_within = "60s"

[classes.fault-report]
tier = 1
model = "drafter"
start_within = "2s"
finish_within = "30s"

[classes.chat]
tier = 2
model = "drafter"
start_within = "1s"
finish_within = "20s"

[classes.summary]
tier = 3
model = "drafter"
start_within = "3s"
finish_within = "20s"

[classes.tag]
tier = 4
model = "drafter"
start_within = "10s"
finish_within = "60s"
`

/** Output tokens of each class: an affidavit is a hundred times longer than a tag summary. */
const MIX = [
  { className: 'affidavit', tokens: 400, share: 0.1 },
  { className: 'fault-report', tokens: 120, share: 0.1 },
  { className: 'chat', tokens: 60, share: 0.3 },
  { className: 'summary', tokens: 30, share: 0.3 },
  { className: 'tag', tokens: 4, share: 0.2 }
]

interface Sent {
  readonly ask: Ask
  readonly got: Got
}

function pick (at: number): typeof MIX[number] {
  let rest = (at * 0.618) % 1
  for (const entry of MIX) {
    if (rest < entry.share) return entry
    rest -= entry.share
  }
  return MIX[0]!
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function percentile (values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b)
  return (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0).toFixed(0)
}

/** Whether a request lost its place to a higher tier, and was told so. */
function hasYielded (sent: Sent): boolean {
  return sent.got.reason === 'yielded'
}

function isLost (sent: Sent): boolean {
  return ['unknown', 'broken'].includes(sent.got.outcome) && !hasYielded(sent)
}

function summarise (sent: readonly Sent[]): string {
  const rows = MIX.map(({ className }) => {
    const own = sent.filter(each => each.ask.className === className)
    const answered = own.filter(each => each.got.outcome === 'answered')
    const whole = answered.filter(each => each.got.text === textOf(each.got.responseId, each.ask.tokens))
    const first = answered.map(each => each.got.firstMs)
    const end = answered.map(each => each.got.endMs)
    return [className, String(own.length), String(answered.length), String(whole.length),
      String(own.filter(each => each.got.outcome === 'not-run').length),
      String(own.filter(hasYielded).length),
      String(own.filter(isLost).length),
      percentile(first, 0.5), percentile(first, 0.95), percentile(end, 0.5)]
  })
  return layOut(['CLASS', 'SENT', 'ANSWERED', 'WHOLE', 'NOT RUN', 'YIELDED', 'UNKNOWN',
    'FIRST TOKEN MS P50', 'P95', 'LAST TOKEN MS P50'], rows)
}

const deployment = new Deployment({
  hosts: 4,
  engines: [
    { name: 'old-1', models: ['drafter'], dataCentre: 'north', batch: 16, step: 12, stepPerSequence: 0.6, prefill: 4 },
    { name: 'old-2', models: ['drafter'], dataCentre: 'south', batch: 16, step: 12, stepPerSequence: 0.6, prefill: 4 },
    { name: 'new-1', models: ['drafter'], dataCentre: 'west', batch: 32, step: 6, stepPerSequence: 0.2, prefill: 10 }
  ],
  workers: 2,
  organisations: ORGANISATIONS,
  classes: CLASSES
})

async function sendAll (): Promise<Sent[]> {
  let ended = 0
  const sends = Array.from({ length: REQUESTS }, async (_, i): Promise<Sent> => {
    await pause(i * SPREAD_MS / REQUESTS)
    const { className, tokens } = pick(i)
    const organisation = ORGANISATIONS[i % ORGANISATIONS.length]!
    const ask: Ask = {
      organisation,
      className,
      tokens,
      nonce: `request-${i}`,
      input: `request ${i}`,
      instructions: className.repeat(40),
      ...(i % 2 === 0 ? { key: `key-${i}` } : {})
    }
    const got = await send(deployment.hosts[i % deployment.hosts.length]!.port, ask)
    ended++
    if (ended % 20 === 0) process.stdout.write(`${ended} of ${REQUESTS} requests ended\n`)
    return { ask, got }
  })
  return await Promise.all(sends)
}

async function callAll (): Promise<number> {
  const calls = Array.from({ length: CALLS }, async (_, i) => {
    await pause(i * SPREAD_MS / CALLS)
    const host = deployment.hosts[i % deployment.hosts.length]!
    const isRead = i % 2 === 0
    const called = await callService(host.port, 'registry', isRead ? 'GET' : 'POST',
      isRead ? `/status/${i}` : '/lodgements', `call-${i}`, `call-key-${i}`)
    return called.outcome === 'answered'
  })
  return (await Promise.all(calls)).filter(Boolean).length
}

try {
  process.stdout.write('starting 4 hosts, 3 engines, 2 service workers and a platform on loopback\n')
  await deployment.start()
  const [sent, answered] = await Promise.all([sendAll(), callAll()])
  const engineRuns = await deployment.runs(deployment.engines)
  const doubled = [...engineRuns.values()].filter(count => count > 1).length
  const serviceRuns = await deployment.runs(deployment.workers)
  const doubledCalls = [...serviceRuns.values()].filter(count => count > 1).length
  const lost = sent.filter(isLost).length
  const wrong = sent.filter(each => each.got.outcome === 'answered' &&
    each.got.text !== textOf(each.got.responseId, each.ask.tokens)).length
  process.stdout.write(`\n${summarise(sent)}\n\nservice calls answered: ${answered} of ${CALLS}\n`)
  process.stdout.write(`run more than once: ${doubled} requests, ${doubledCalls} calls; ` +
    `lost: ${lost}; answers that differ from the engine's: ${wrong}\n`)
  process.exitCode = doubled + doubledCalls + lost + wrong === 0 && answered === CALLS ? 0 : 1
} finally {
  await deployment.stop()
}
