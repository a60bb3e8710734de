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

const FAULT_AT_MS = 800
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

function engine (name: string, step: number): EngineSpec {
  return { name, models: ['plain'], dataCentre: 'north', maxBatchSize: 16, stepMs: step, stepPerSequenceMs: 0.2, prefillTokensPerMs: 10 }
}

function open (): Deployment {
  return new Deployment({
    hosts: 4,
    engines: [engine('quick', 8), engine('slow', 16)],
    workers: 2,
    organisations: LOAD.organisations,
    classes: '[classes.summary]\ntier = 2\nmodel = "plain"\nstart_within = "15s"\nfinish_within = "60s"\n',
    supportsPartitions: true
  })
}

/** Sends a load while a fault is brought about, and gives the stories and what must not be. */
async function bring (
  deployment: Deployment, name: string
): Promise<{ stories: RequestHistory[], faults: readonly string[] }> {
  const brought = new Promise(resolve => setTimeout(resolve, FAULT_AT_MS))
    .then(async () => await FAULTS[name]!(deployment))
  const [stories] = await Promise.all([sendLoad(deployment, LOAD, name.replaceAll(' ', '-')), brought])
  const runs = await deployment.collectRunCounts([...deployment.engines, ...deployment.workers])
  return { stories, faults: checkHistories(stories, runs).violations }
}

async function ownerOf (deployment: Deployment, server: string): Promise<DeployedProcess | undefined> {
  for (const host of deployment.hosts.filter(each => each.child.isRunning)) {
    const state = JSON.parse((await deployment.callAdmin(host, 'GET', '/dump')).body) as { owned: Array<{ server: string }> }
    if (state.owned.some(each => each.server === server)) return host
  }
  return undefined
}

/** Fails with every reason for which an attempt had no answer. */
function expectNoReason (stories: readonly RequestHistory[]): void {
  const reasons = [...countFailureReasons(stories)].map(([reason, count]) => `${count} x ${reason}`)
  if (reasons.length > 0) throw new Error(reasons.join('\n'))
}

describe('under failure, with separate processes', { timeout: 300_000 }, () => {
  let deployment: Deployment
  before(async () => {
    deployment = open()
    await deployment.start()
  })
  after(async () => { await deployment.stop() })

  it('a table outage leaves drafts and reads served and doubles nothing', async () => {
    const { stories, faults } = await bring(deployment, 'table outage')
    expect(faults).toEqual([])
    const unserved = stories.filter(story => story.kind !== 'call' && story.attempts.at(-1)!.outcome !== 'answered')
    expect(unserved).toEqual([])
  })

  it('answers lost by the table double no call and lose none', async () => {
    const { stories, faults } = await bring(deployment, 'lost answers')
    expect(faults).toEqual([])
    expect(stories.filter(story => story.attempts.at(-1)!.outcome !== 'answered')).toEqual([])
  })

  it('an engine that breaks, doubles and reorders its streams still gives whole answers', async () => {
    const { stories, faults } = await bring(deployment, 'engine drops streams')
    await deployment.setFaults(deployment.engines[0]!, { dropEvery: 0, reorder: false, double: false })
    expect(faults).toEqual([])
    expectNoReason(stories.filter(story => story.kind === 'draft'))
  })

  it('an engine that swaps answers gets none of them delivered', async () => {
    const { faults } = await bring(deployment, 'engine swaps answers')
    await deployment.setFaults(deployment.engines[0]!, { swap: false })
    expect(faults).toEqual([])
  })

  it('a host frozen for long doubles nothing and says no false "not run"', async () => {
    const { faults } = await bring(deployment, 'freeze')
    expect(faults).toEqual([])
    // The hosts that waited for the frozen one must not end with it.
    expect(deployment.hosts.filter(host => !host.child.isRunning)).toEqual([])
    await deployment.waitUntilReady(1)
  })

  it('a stream goes on, whole, when its owner is killed', async () => {
    const owner = (await ownerOf(deployment, 'slow'))!
    const entry = deployment.hosts.find(host => host !== owner && host.child.isRunning)!
    const asks = Array.from({ length: 6 }, (_, i) => ({
      organisation: 'acme', className: 'summary', input: 'long', tokens: 150, nonce: `long-${i}`, key: `long-key-${i}`
    }))
    const sent = asks.map(async ask => await sendRequest(entry.port, ask))
    await new Promise(resolve => setTimeout(resolve, 700))
    await owner.child.kill()
    const got = await Promise.all(sent)
    expect(got.map(each => each.outcome)).toEqual(asks.map(() => 'answered'))
    expect(got.map(each => each.text)).toEqual(got.map(each => generateText(each.responseId, 150)))
    const runs = await deployment.collectRunCounts(deployment.engines)
    expect(asks.map(ask => runs.get(ask.nonce))).toEqual(asks.map(() => 1))
  })

  it('replacing every host in turn cuts off no request', async () => {
    await deployment.waitUntilReady(1)
    const { stories, faults } = await bring(deployment, 'drain each in turn')
    expect(faults).toEqual([])
    expectNoReason(stories)
  })
})
