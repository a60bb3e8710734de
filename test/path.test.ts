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

function engine (name: string, step: number): EngineSpec {
  return { name, models: ['plain'], dataCentre: 'north', maxBatchSize: 16, stepMs: step, stepPerSequenceMs: 0.2, prefillTokensPerMs: 10 }
}

function ask (nonce: string, more: Partial<GenerationRequest> = {}): GenerationRequest {
  return { organisation: 'acme', className: 'summary', input: `summarise ${nonce}`, tokens: 20, nonce, ...more }
}

const deployment = new Deployment({
  hosts: 3,
  engines: [engine('quick', 2), engine('slow', 6)],
  workers: 2,
  organisations: ['acme', 'bravo'],
  classes: CLASSES
})

function port (host: number): number {
  return deployment.hosts[host % deployment.hosts.length]!.port
}

async function post (path: string, headers: Record<string, string | string[]>, body: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${port(0)}${path}`, { method: 'POST', headers, body })
  await response.body.dump()
  return response.statusCode
}

const KEYED = { authorization: `Bearer ${apiKeyOf('acme')}`, 'content-type': 'application/json' }

describe('the whole path', { timeout: 120_000 }, () => {
  before(async () => { await deployment.start() })
  after(async () => { await deployment.stop() })

  it('gives each of many callers the whole answer to their own request', async () => {
    const asks = Array.from({ length: 30 }, (_, i) => ask(`many-${i}`))
    const got = await Promise.all(asks.map(async (each, i) => await sendRequest(port(i), each)))
    expect(got.filter(each => each.outcome !== 'answered')).toEqual([])
    expect(got.filter(each => each.text !== generateText(each.responseId, 20))).toEqual([])
    const runs = await deployment.collectRunCounts(deployment.engines)
    expect(asks.map(each => runs.get(each.nonce))).toEqual(asks.map(() => 1))
  })

  it('runs a request once that is sent to three hosts with one key, and gives all the same answer', async () => {
    const same = ask('thrice', { key: 'key-thrice' })
    const got = await Promise.all([0, 1, 2].map(async host => await sendRequest(port(host), same)))
    expect(new Set(got.map(each => each.responseId)).size).toEqual(1)
    expect(got.map(each => each.text)).toEqual(got.map(() => generateText(got[0]!.responseId, 20)))
    expect((await deployment.collectRunCounts(deployment.engines)).get('thrice')).toEqual(1)
  })

  it('gives a finished answer again from its start', async () => {
    const first = await sendRequest(port(0), ask('again', { key: 'key-again' }))
    const second = await sendRequest(port(1), ask('again', { key: 'key-again' }))
    expect(second.text).toEqual(first.text)
    expect((await deployment.collectRunCounts(deployment.engines)).get('again')).toEqual(1)
  })

  it('refuses another request under the same key', async () => {
    await sendRequest(port(0), ask('mine', { key: 'key-mine' }))
    const got = await sendRequest(port(1), ask('mine', { key: 'key-mine', input: 'something else' }))
    expect([got.status, got.outcome]).toEqual([422, 'not-run'])
  })

  it('takes the same key of another organisation as another key', async () => {
    const first = await sendRequest(port(0), ask('theirs', { key: 'key-theirs' }))
    const other = await sendRequest(port(1), ask('theirs', { key: 'key-theirs', organisation: 'bravo' }))
    expect(other.responseId === first.responseId).toEqual(false)
  })

  it('executes a call once that is sent to two hosts at the same time', async () => {
    const got = await Promise.all([0, 1].map(async host =>
      await callService(port(host), 'acme', 'POST', '/lodgements', 'lodge-1', 'key-lodge')))
    expect(got.map(each => each.outcome)).toEqual(['answered', 'answered'])
    expect(got[0]!.body).toEqual(got[1]!.body)
    expect((await deployment.collectRunCounts(deployment.workers)).get('lodge-1')).toEqual(1)
  })

  it('answers calls that may be repeated', async () => {
    const got = await callService(port(2), 'acme', 'GET', '/status/7', 'status-7')
    expect(got.status).toEqual(200)
  })

  it('answers 401 without a key and with a wrong one', async () => {
    expect(await post('/v1/responses', {}, '{}')).toEqual(401)
    expect(await post('/v1/responses', { authorization: 'Bearer wrong' }, '{}')).toEqual(401)
  })

  it('answers 400 to what is no JSON, to an unknown class and to a doubled header', async () => {
    expect(await post('/v1/responses', KEYED, '{"input":')).toEqual(400)
    expect(await post('/v1/responses', KEYED, '{"input":"x","metadata":{"class":"none"}}')).toEqual(400)
    const doubled = { ...KEYED, 'idempotency-key': ['a', 'b'] }
    expect(await post('/v1/responses', doubled, '{"input":"x","metadata":{"class":"summary"}}')).toEqual(400)
  })

  it('answers 413 to a body over the bound', async () => {
    expect(await post('/v1/responses', KEYED, 'x'.repeat((1 << 20) + 1))).toEqual(413)
  })

  it('lets no organisation read the answer of another', async () => {
    const got = await sendRequest(port(0), ask('private'))
    const url = `http://127.0.0.1:${port(1)}/v1/responses/${got.responseId}?stream=true`
    const own = await request(url, { headers: { authorization: `Bearer ${apiKeyOf('acme')}` } })
    const other = await request(url, { headers: { authorization: `Bearer ${apiKeyOf('bravo')}` } })
    expect([own.statusCode, other.statusCode]).toEqual([200, 404])
    expect((await own.body.text()).includes('response.completed')).toEqual(true)
    await other.body.dump()
  })

  it('shows both conflicting operators one winner', async () => {
    const host = deployment.hosts[0]!
    const { revision } = JSON.parse((await deployment.callAdmin(host, 'GET', '/configuration')).body) as { revision: number }
    const change = (name: string): string => `${CLASSES.replace('summary', name)}`
    const results = await Promise.all([0, 1].map(async i => await deployment.callAdmin(
      deployment.hosts[i]!, 'POST', `/configuration?revision=${revision}`, change(`class-${i}`))))
    expect(results.map(each => each.status).sort()).toEqual([200, 409])
  })
})
