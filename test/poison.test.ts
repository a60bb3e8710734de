import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { err } from 'neverthrow'
import { EngineFailure } from '../src/engine/index.js'
import { Execution } from '../src/owner/execution.js'
import type { BackendServer } from '../src/config/index.js'
import { CrashHistory } from '../src/owner/index.js'
import type { DispatchContext } from '../src/owner/context.js'
import type { TrackedRequest } from '../src/owner/request.js'
import { type GenerationRequest, sendRequest } from '../standins/caller.js'
import { Deployment } from '../standins/deployment.js'
import type { EngineSpec } from '../standins/documents.js'
import { flushPromises } from './time.js'

const RETENTION_MS = 1_000

function engine (name: string): EngineSpec {
  return { name, models: ['plain'], dataCentre: 'north', maxBatchSize: 8, stepMs: 10, stepPerSequenceMs: 0, prefillTokensPerMs: 10 }
}

describe('the crash history', () => {
  it('classifies a request as poison after crashes of two servers, not after two crashes of one', () => {
    const crashHistory = new CrashHistory(RETENTION_MS)
    crashHistory.recordCrash('f', 'e1', 0)
    crashHistory.recordCrash('f', 'e1', 1)
    expect(crashHistory.isPoison('f', 2)).toEqual(false)
    crashHistory.recordCrash('f', 'e2', 3)
    expect(crashHistory.isPoison('f', 4)).toEqual(true)
  })

  it('drops entries after the retention time and beyond its maximum size', () => {
    const crashHistory = new CrashHistory(RETENTION_MS)
    crashHistory.recordCrash('f', 'e1', 0)
    crashHistory.recordCrash('f', 'e2', 0)
    expect(crashHistory.isPoison('f', RETENTION_MS)).toEqual(false)
    for (let i = 0; i < 10_000; i++) crashHistory.recordCrash(`f${i}`, 'e1', 0)
    expect(crashHistory.size).toEqual(4_096)
  })
})

describe('a crash', () => {
  // A caller may send its request again, to another host, as soon as it receives the failure of the lost server. If
  // that host does not know of the crash yet, it sends the request to a further server, which crashes as well.
  it('is reported to the other hosts before the caller receives the failure', async () => {
    const refused = err(new EngineFailure({ code: 'refused' }, 'the engine is gone'))
    const broken = err(new EngineFailure({ code: 'broken' }, 'the connection ended'))
    let finishReport = (): void => undefined
    const reportFinished = new Promise<void>(resolve => { finishReport = resolve })
    const context = {
      client: { create: async () => broken, resume: async () => refused },
      coordinators: { applyStep: async () => ({ status: 'done' }) },
      clock: { now: () => 0, sleep: async () => undefined },
      log: { warn: () => undefined },
      reportCrash: async () => await reportFinished
    }
    const health = { recordDispatch: () => undefined, recordFailure: () => undefined }
    const prefixes = { recordPrefix: () => undefined }
    const trackedRequest = {
      submission: { body: '{}', fingerprint: 'f' }, job: { id: 'r1' }, response: { markDispatched: () => undefined }
    }
    const execution = new Execution(context as unknown as DispatchContext, { name: 'e1', address: 'http://e1' } as BackendServer, {
      health: health as never, prefixes: prefixes as never, onTokens: () => undefined
    })
    let isFinished = false
    const resultPromise = execution.run(trackedRequest as unknown as TrackedRequest).then(result => {
      isFinished = true
      return result
    })
    await flushPromises()
    expect(isFinished).toEqual(false)
    finishReport()
    expect((await resultPromise).outcome).toEqual('unknown')
  })
})

describe('a request that crashes every server that runs it', { timeout: 60_000 }, () => {
  const deployment = new Deployment({
    hosts: 3,
    engines: ['e1', 'e2', 'e3', 'e4'].map(engine),
    workers: 0,
    organisations: ['acme'],
    classes: '[classes.chat]\ntier = 2\nmodel = "plain"\nstart_within = "10s"\nfinish_within = "60s"\n'
  })
  before(async () => { await deployment.start() })
  after(async () => { await deployment.stop() })

  it('crashes at most two servers, even if it is sent repeatedly through all hosts', async () => {
    for (const engineProcess of deployment.engines) await deployment.setFaults(engineProcess, { poison: 'deadly' })
    const request: GenerationRequest = { organisation: 'acme', className: 'chat', input: 'deadly', tokens: 20, nonce: 'deadly' }
    const responses = []
    for (let i = 0; i < 8; i++) responses.push(await sendRequest(deployment.hosts[i % 3]!.port, request))
    expect(deployment.engines.filter(engineProcess => !engineProcess.child.isRunning).length).toEqual(2)
    expect(responses.at(-1)!.outcome).toEqual('not-run')
    expect(responses.at(-1)!.reason).toEqual('urn:marigoldvalve:problem:poison')
    const harmless = await sendRequest(deployment.hosts[0]!.port, { ...request, input: 'harmless', nonce: 'harmless' })
    expect(harmless.outcome).toEqual('answered')
  })
})
