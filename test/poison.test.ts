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

describe('suspects', () => {
  it('are convicted by crashes of two servers, not by two crashes of one', () => {
    const suspects = new CrashHistory(RETENTION_MS)
    suspects.recordCrash('f', 'e1', 0)
    suspects.recordCrash('f', 'e1', 1)
    expect(suspects.isPoison('f', 2)).toEqual(false)
    suspects.recordCrash('f', 'e2', 3)
    expect(suspects.isPoison('f', 4)).toEqual(true)
  })

  it('are forgotten after the retention time and past the bound', () => {
    const suspects = new CrashHistory(RETENTION_MS)
    suspects.recordCrash('f', 'e1', 0)
    suspects.recordCrash('f', 'e2', 0)
    expect(suspects.isPoison('f', RETENTION_MS)).toEqual(false)
    for (let i = 0; i < 10_000; i++) suspects.recordCrash(`f${i}`, 'e1', 0)
    expect(suspects.size).toEqual(4_096)
  })
})

describe('a crash', () => {
  // Load: a caller that sends a request again to another host the moment it hears that its server was lost.
  it('is known to the other hosts before the caller hears of it', async () => {
    const refused = err(new EngineFailure({ code: 'refused' }, 'the engine is gone'))
    const broken = err(new EngineFailure({ code: 'broken' }, 'the connection ended'))
    let tell = (): void => undefined
    const told = new Promise<void>(resolve => { tell = resolve })
    const tools = {
      client: { create: async () => broken, resume: async () => refused },
      coordinators: { applyStep: async () => ({ status: 'done' }) },
      clock: { now: () => 0, sleep: async () => undefined },
      log: { warn: () => undefined },
      reportCrash: async () => await told
    }
    const health = { recordDispatch: () => undefined, recordFailure: () => undefined }
    const prefixes = { recordPrefix: () => undefined }
    const work = {
      submission: { body: '{}', fingerprint: 'f' }, job: { id: 'r1' }, response: { markDispatched: () => undefined }
    }
    const execution = new Execution(tools as unknown as DispatchContext, { name: 'e1', address: 'http://e1' } as BackendServer, {
      health: health as never, prefixes: prefixes as never, onTokens: () => undefined
    })
    let isOver = false
    const run = execution.run(work as unknown as TrackedRequest).then(ending => {
      isOver = true
      return ending
    })
    await flushPromises()
    expect(isOver).toEqual(false)
    tell()
    expect((await run).outcome).toEqual('unknown')
  })
})

describe('a request that crashes each server that runs it', { timeout: 60_000 }, () => {
  const deployment = new Deployment({
    hosts: 3,
    engines: ['e1', 'e2', 'e3', 'e4'].map(engine),
    workers: 0,
    organisations: ['acme'],
    classes: '[classes.chat]\ntier = 2\nmodel = "plain"\nstart_within = "10s"\nfinish_within = "60s"\n'
  })
  before(async () => { await deployment.start() })
  after(async () => { await deployment.stop() })

  it('crashes two at most, though it is sent again and again by all hosts', async () => {
    for (const each of deployment.engines) await deployment.setFaults(each, { poison: 'deadly' })
    const ask: GenerationRequest = { organisation: 'acme', className: 'chat', input: 'deadly', tokens: 20, nonce: 'deadly' }
    const got = []
    for (let i = 0; i < 8; i++) got.push(await sendRequest(deployment.hosts[i % 3]!.port, ask))
    expect(deployment.engines.filter(each => !each.child.isRunning).length).toEqual(2)
    expect(got.at(-1)!.outcome).toEqual('not-run')
    expect(got.at(-1)!.reason).toEqual('urn:marigoldvalve:problem:poison')
    const healthy = await sendRequest(deployment.hosts[0]!.port, { ...ask, input: 'harmless', nonce: 'harmless' })
    expect(healthy.outcome).toEqual('answered')
  })
})
