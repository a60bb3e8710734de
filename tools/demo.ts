/**
 * Runs a mixed load against several hosts, engines of different speeds and a
 * plain service. Engines, service and platform are stand-ins. Every host and
 * every stand-in runs in its own process. The exit status is 1 if a request was
 * lost, run more than once or answered wrongly, or if a service call was not
 * answered.
 */
import { generateText } from '../standins/sequence.js'
import { callService, type GenerationRequest, type GenerationResult, sendRequest } from '../standins/caller.js'
import { Deployment } from '../standins/deployment.js'
import { formatTable } from '../src/cli/table.js'

const REQUEST_COUNT = 200
const CALL_COUNT = 60
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

/** Output tokens and share of the requests of each class. An affidavit is a hundred times longer than a tag. */
const MIX = [
  { className: 'affidavit', tokens: 400, share: 0.1 },
  { className: 'fault-report', tokens: 120, share: 0.1 },
  { className: 'chat', tokens: 60, share: 0.3 },
  { className: 'summary', tokens: 30, share: 0.3 },
  { className: 'tag', tokens: 4, share: 0.2 }
]

interface CompletedRequest {
  readonly request: GenerationRequest
  readonly result: GenerationResult
}

/** Chooses a class for a request so that every part of the load has about the same mix. */
function pickClass (index: number): typeof MIX[number] {
  let remaining = (index * 0.618) % 1
  for (const entry of MIX) {
    if (remaining < entry.share) return entry
    remaining -= entry.share
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

/** Whether a request was preempted by a higher tier and the caller received that as the reason. */
function isPreempted (completed: CompletedRequest): boolean {
  return completed.result.reason === 'yielded'
}

function isLost (completed: CompletedRequest): boolean {
  return ['unknown', 'broken'].includes(completed.result.outcome) && !isPreempted(completed)
}

function summarise (requests: readonly CompletedRequest[]): string {
  const rows = MIX.map(({ className }) => {
    const ofClass = requests.filter(each => each.request.className === className)
    const answered = ofClass.filter(each => each.result.outcome === 'answered')
    const correct = answered.filter(
      each => each.result.text === generateText(each.result.responseId, each.request.tokens)
    )
    const firstTokenTimesMs = answered.map(each => each.result.timeToFirstTokenMs)
    const durationsMs = answered.map(each => each.result.durationMs)
    return [className, String(ofClass.length), String(answered.length), String(correct.length),
      String(ofClass.filter(each => each.result.outcome === 'not-run').length),
      String(ofClass.filter(isPreempted).length),
      String(ofClass.filter(isLost).length),
      percentile(firstTokenTimesMs, 0.5), percentile(firstTokenTimesMs, 0.95), percentile(durationsMs, 0.5)]
  })
  return formatTable(['CLASS', 'SENT', 'ANSWERED', 'WHOLE', 'NOT RUN', 'YIELDED', 'UNKNOWN',
    'FIRST TOKEN MS P50', 'P95', 'LAST TOKEN MS P50'], rows)
}

const deployment = new Deployment({
  hosts: 4,
  engines: [
    { name: 'old-1', models: ['drafter'], dataCentre: 'north', maxBatchSize: 16, stepMs: 12, stepPerSequenceMs: 0.6, prefillTokensPerMs: 4 },
    { name: 'old-2', models: ['drafter'], dataCentre: 'south', maxBatchSize: 16, stepMs: 12, stepPerSequenceMs: 0.6, prefillTokensPerMs: 4 },
    { name: 'new-1', models: ['drafter'], dataCentre: 'west', maxBatchSize: 32, stepMs: 6, stepPerSequenceMs: 0.2, prefillTokensPerMs: 10 }
  ],
  workers: 2,
  organisations: ORGANISATIONS,
  classes: CLASSES
})

async function sendAll (): Promise<CompletedRequest[]> {
  let completedCount = 0
  const requests = Array.from({ length: REQUEST_COUNT }, async (_, i): Promise<CompletedRequest> => {
    await pause(i * SPREAD_MS / REQUEST_COUNT)
    const { className, tokens } = pickClass(i)
    const organisation = ORGANISATIONS[i % ORGANISATIONS.length]!
    const request: GenerationRequest = {
      organisation,
      className,
      tokens,
      nonce: `request-${i}`,
      input: `request ${i}`,
      instructions: className.repeat(40),
      ...(i % 2 === 0 ? { key: `key-${i}` } : {})
    }
    const result = await sendRequest(deployment.hosts[i % deployment.hosts.length]!.port, request)
    completedCount++
    if (completedCount % 20 === 0) process.stdout.write(`${completedCount} of ${REQUEST_COUNT} requests completed\n`)
    return { request, result }
  })
  return await Promise.all(requests)
}

async function callAll (): Promise<number> {
  const calls = Array.from({ length: CALL_COUNT }, async (_, i) => {
    await pause(i * SPREAD_MS / CALL_COUNT)
    const host = deployment.hosts[i % deployment.hosts.length]!
    const isRead = i % 2 === 0
    const result = await callService(host.port, 'registry', isRead ? 'GET' : 'POST',
      isRead ? `/status/${i}` : '/lodgements', `call-${i}`, `call-key-${i}`)
    return result.outcome === 'answered'
  })
  return (await Promise.all(calls)).filter(Boolean).length
}

try {
  process.stdout.write('starting 4 hosts, 3 engines, 2 service workers and a platform on loopback\n')
  await deployment.start()
  const [requests, answeredCalls] = await Promise.all([sendAll(), callAll()])
  const engineRunCounts = await deployment.collectRunCounts(deployment.engines)
  const repeatedRequests = [...engineRunCounts.values()].filter(count => count > 1).length
  const serviceRunCounts = await deployment.collectRunCounts(deployment.workers)
  const repeatedCalls = [...serviceRunCounts.values()].filter(count => count > 1).length
  const lostCount = requests.filter(isLost).length
  const wrongAnswers = requests.filter(each => each.result.outcome === 'answered' &&
    each.result.text !== generateText(each.result.responseId, each.request.tokens)).length
  process.stdout.write(`\n${summarise(requests)}\n\nservice calls answered: ${answeredCalls} of ${CALL_COUNT}\n`)
  process.stdout.write(`run more than once: ${repeatedRequests} requests, ${repeatedCalls} calls; ` +
    `lost: ${lostCount}; answers that differ from the engine's: ${wrongAnswers}\n`)
  process.exitCode =
    repeatedRequests + repeatedCalls + lostCount + wrongAnswers === 0 && answeredCalls === CALL_COUNT ? 0 : 1
} finally {
  await deployment.stop()
}
