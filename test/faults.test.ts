import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { generateText } from '../standins/sequence.js'
import { sendRequest } from '../standins/caller.js'
import { type DeployedProcess, Deployment } from '../standins/deployment.js'
import type { EngineSpec } from '../standins/documents.js'
import { countFailureReasons, type Load, sendLoad } from '../standins/load.js'
import { checkHistories } from '../standins/oracle.js'
import type { RequestHistory } from '../standins/history.js'
import { FAULTS } from '../tools/faults.js'

const FAULT_DELAY_MS = 800
const LOAD: Load = {
  drafts: 30,
  calls: 20,
  reads: 10,
  spreadMs: 4_000,
  tokens: 40,
  organisations: ['acme', 'bravo'],
  className: 'summary',
  retryPolicy: { maxAttempts: 6, retryDelayMs: 3_500 }
}

function engine (name: string, stepMs: number): EngineSpec {
  return { name, models: ['plain'], dataCentre: 'north', maxBatchSize: 16, stepMs, stepPerSequenceMs: 0.2, prefillTokensPerMs: 10 }
}

function createDeployment (): Deployment {
  return new Deployment({
    hosts: 4,
    engines: [engine('quick', 8), engine('slow', 16)],
    workers: 2,
    organisations: LOAD.organisations,
    classes: '[classes.summary]\ntier = 2\nmodel = "plain"\nstart_within = "15s"\nfinish_within = "60s"\n',
    supportsPartitions: true
  })
}

/** Sends a load while a fault is injected, and returns the history of each request and the violations found. */
async function sendLoadDuring (
  deployment: Deployment, faultName: string
): Promise<{ histories: RequestHistory[], violations: readonly string[] }> {
  const injection = new Promise(resolve => setTimeout(resolve, FAULT_DELAY_MS))
    .then(async () => await FAULTS[faultName]!(deployment))
  const [histories] = await Promise.all([sendLoad(deployment, LOAD, faultName.replaceAll(' ', '-')), injection])
  const runCounts = await deployment.collectRunCounts([...deployment.engines, ...deployment.workers])
  return { histories, violations: checkHistories(histories, runCounts).violations }
}

async function ownerOf (deployment: Deployment, server: string): Promise<DeployedProcess | undefined> {
  for (const host of deployment.hosts.filter(each => each.child.isRunning)) {
    const state = JSON.parse((await deployment.callAdmin(host, 'GET', '/dump')).body) as { owned: Array<{ server: string }> }
    if (state.owned.some(each => each.server === server)) return host
  }
  return undefined
}

/** Throws an error that lists how often each reason occurred if any attempt was not answered. */
function expectAllAnswered (histories: readonly RequestHistory[]): void {
  const reasons = [...countFailureReasons(histories)].map(([reason, count]) => `${count} x ${reason}`)
  if (reasons.length > 0) throw new Error(reasons.join('\n'))
}

describe('a deployment of separate processes under faults', { timeout: 300_000 }, () => {
  let deployment: Deployment
  before(async () => {
    deployment = createDeployment()
    await deployment.start()
  })
  after(async () => { await deployment.stop() })

  it('answers drafts and reads during a table outage and executes nothing twice', async () => {
    const { histories, violations } = await sendLoadDuring(deployment, 'table outage')
    expect(violations).toEqual([])
    const unanswered = histories.filter(history => history.kind !== 'call' && history.attempts.at(-1)!.outcome !== 'answered')
    expect(unanswered).toEqual([])
  })

  it('answers every request, and executes no call twice, when replies of the table are lost', async () => {
    const { histories, violations } = await sendLoadDuring(deployment, 'lost answers')
    expect(violations).toEqual([])
    expect(histories.filter(history => history.attempts.at(-1)!.outcome !== 'answered')).toEqual([])
  })

  it('returns complete answers when an engine interrupts, duplicates and reorders its streams', async () => {
    const { histories, violations } = await sendLoadDuring(deployment, 'engine drops streams')
    await deployment.setFaults(deployment.engines[0]!, { dropEvery: 0, reorder: false, double: false })
    expect(violations).toEqual([])
    expectAllAnswered(histories.filter(history => history.kind === 'draft'))
  })

  it('delivers no answer that an engine swapped with another', async () => {
    const { violations } = await sendLoadDuring(deployment, 'engine swaps answers')
    await deployment.setFaults(deployment.engines[0]!, { swap: false })
    expect(violations).toEqual([])
  })

  it('executes nothing twice and reports no false "not run" when a host is frozen for long', async () => {
    const { violations } = await sendLoadDuring(deployment, 'freeze')
    expect(violations).toEqual([])
    // Hosts with calls pending at the frozen host must not exit because of it.
    expect(deployment.hosts.filter(host => !host.child.isRunning)).toEqual([])
    await deployment.waitUntilReady(1)
  })

  it('completes streams, without running them again, when the owner of their server is killed', async () => {
    const owner = (await ownerOf(deployment, 'slow'))!
    const entryHost = deployment.hosts.find(host => host !== owner && host.child.isRunning)!
    const requests = Array.from({ length: 6 }, (_, i) => ({
      organisation: 'acme', className: 'summary', input: 'long', tokens: 150, nonce: `long-${i}`, key: `long-key-${i}`
    }))
    const pending = requests.map(async each => await sendRequest(entryHost.port, each))
    await new Promise(resolve => setTimeout(resolve, 700))
    await owner.child.kill()
    const responses = await Promise.all(pending)
    expect(responses.map(each => each.outcome)).toEqual(requests.map(() => 'answered'))
    expect(responses.map(each => each.text)).toEqual(responses.map(each => generateText(each.responseId, 150)))
    const runCounts = await deployment.collectRunCounts(deployment.engines)
    expect(requests.map(each => runCounts.get(each.nonce))).toEqual(requests.map(() => 1))
  })

  it('answers every request while every host is replaced in turn', async () => {
    await deployment.waitUntilReady(1)
    const { histories, violations } = await sendLoadDuring(deployment, 'drain each in turn')
    expect(violations).toEqual([])
    expectAllAnswered(histories)
  })
})
