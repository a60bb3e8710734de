import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { generateText } from '../standins/sequence.js'
import { callService, type GenerationRequest, sendRequest } from '../standins/caller.js'
import { Deployment } from '../standins/deployment.js'
import { apiKeyOf, type EngineSpec } from '../standins/documents.js'

const CLASSES = `
[classes.summary]
tier = 2
model = "plain"
start_within = "5s"
finish_within = "30s"
`

function engine (name: string, stepMs: number): EngineSpec {
  return { name, models: ['plain'], dataCentre: 'north', maxBatchSize: 16, stepMs, stepPerSequenceMs: 0.2, prefillTokensPerMs: 10 }
}

function requestOf (nonce: string, overrides: Partial<GenerationRequest> = {}): GenerationRequest {
  return { organisation: 'acme', className: 'summary', input: `summarise ${nonce}`, tokens: 20, nonce, ...overrides }
}

const deployment = new Deployment({
  hosts: 3,
  engines: [engine('quick', 2), engine('slow', 6)],
  workers: 2,
  organisations: ['acme', 'bravo'],
  classes: CLASSES
})

function portOf (host: number): number {
  return deployment.hosts[host % deployment.hosts.length]!.port
}

async function post (path: string, headers: Record<string, string | string[]>, body: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${portOf(0)}${path}`, { method: 'POST', headers, body })
  await response.body.dump()
  return response.statusCode
}

const CALLER_HEADERS = { authorization: `Bearer ${apiKeyOf('acme')}`, 'content-type': 'application/json' }

describe('a deployment', { timeout: 120_000 }, () => {
  before(async () => { await deployment.start() })
  after(async () => { await deployment.stop() })

  it('returns the complete answer to each of many concurrent requests', async () => {
    const requests = Array.from({ length: 30 }, (_, i) => requestOf(`many-${i}`))
    const responses = await Promise.all(requests.map(async (each, i) => await sendRequest(portOf(i), each)))
    expect(responses.filter(each => each.outcome !== 'answered')).toEqual([])
    expect(responses.filter(each => each.text !== generateText(each.responseId, 20))).toEqual([])
    const runCounts = await deployment.collectRunCounts(deployment.engines)
    expect(requests.map(each => runCounts.get(each.nonce))).toEqual(requests.map(() => 1))
  })

  it('runs a request once, and returns the same answer, when three hosts receive it with the same key', async () => {
    const keyedRequest = requestOf('thrice', { key: 'key-thrice' })
    const responses = await Promise.all([0, 1, 2].map(async host => await sendRequest(portOf(host), keyedRequest)))
    expect(new Set(responses.map(each => each.responseId)).size).toEqual(1)
    expect(responses.map(each => each.text)).toEqual(responses.map(() => generateText(responses[0]!.responseId, 20)))
    expect((await deployment.collectRunCounts(deployment.engines)).get('thrice')).toEqual(1)
  })

  it('returns a finished answer again from its start', async () => {
    const first = await sendRequest(portOf(0), requestOf('again', { key: 'key-again' }))
    const second = await sendRequest(portOf(1), requestOf('again', { key: 'key-again' }))
    expect(second.text).toEqual(first.text)
    expect((await deployment.collectRunCounts(deployment.engines)).get('again')).toEqual(1)
  })

  it('refuses a different request with the same key', async () => {
    await sendRequest(portOf(0), requestOf('mine', { key: 'key-mine' }))
    const response = await sendRequest(portOf(1), requestOf('mine', { key: 'key-mine', input: 'something else' }))
    expect([response.status, response.outcome]).toEqual([422, 'not-run'])
  })

  it('treats the same key of another organisation as a different key', async () => {
    const first = await sendRequest(portOf(0), requestOf('theirs', { key: 'key-theirs' }))
    const second = await sendRequest(portOf(1), requestOf('theirs', { key: 'key-theirs', organisation: 'bravo' }))
    expect(second.responseId === first.responseId).toEqual(false)
  })

  it('executes a call once when two hosts receive it at the same time', async () => {
    const responses = await Promise.all([0, 1].map(async host =>
      await callService(portOf(host), 'acme', 'POST', '/lodgements', 'lodge-1', 'key-lodge')))
    expect(responses.map(each => each.outcome)).toEqual(['answered', 'answered'])
    expect(responses[0]!.body).toEqual(responses[1]!.body)
    expect((await deployment.collectRunCounts(deployment.workers)).get('lodge-1')).toEqual(1)
  })

  it('answers calls of a repeatable method', async () => {
    const response = await callService(portOf(2), 'acme', 'GET', '/status/7', 'status-7')
    expect(response.status).toEqual(200)
  })

  it('answers 401 without an API key and with a wrong one', async () => {
    expect(await post('/v1/responses', {}, '{}')).toEqual(401)
    expect(await post('/v1/responses', { authorization: 'Bearer wrong' }, '{}')).toEqual(401)
  })

  it('answers 400 to invalid JSON, an unknown class and a duplicate header', async () => {
    expect(await post('/v1/responses', CALLER_HEADERS, '{"input":')).toEqual(400)
    expect(await post('/v1/responses', CALLER_HEADERS, '{"input":"x","metadata":{"class":"none"}}')).toEqual(400)
    const duplicateHeaders = { ...CALLER_HEADERS, 'idempotency-key': ['a', 'b'] }
    expect(await post('/v1/responses', duplicateHeaders, '{"input":"x","metadata":{"class":"summary"}}')).toEqual(400)
  })

  it('answers 413 to a body over the size limit', async () => {
    expect(await post('/v1/responses', CALLER_HEADERS, 'x'.repeat((1 << 20) + 1))).toEqual(413)
  })

  it('does not let an organisation read the answer of another', async () => {
    const response = await sendRequest(portOf(0), requestOf('private'))
    const url = `http://127.0.0.1:${portOf(1)}/v1/responses/${response.responseId}?stream=true`
    const own = await request(url, { headers: { authorization: `Bearer ${apiKeyOf('acme')}` } })
    const other = await request(url, { headers: { authorization: `Bearer ${apiKeyOf('bravo')}` } })
    expect([own.statusCode, other.statusCode]).toEqual([200, 404])
    expect((await own.body.text()).includes('response.completed')).toEqual(true)
    await other.body.dump()
  })

  it('accepts only one of two conflicting configuration changes', async () => {
    const host = deployment.hosts[0]!
    const { revision } = JSON.parse((await deployment.callAdmin(host, 'GET', '/configuration')).body) as { revision: number }
    const documentOf = (name: string): string => `${CLASSES.replace('summary', name)}`
    const results = await Promise.all([0, 1].map(async i => await deployment.callAdmin(
      deployment.hosts[i]!, 'POST', `/configuration?revision=${revision}`, documentOf(`class-${i}`))))
    expect(results.map(each => each.status).sort()).toEqual([200, 409])
  })
})
