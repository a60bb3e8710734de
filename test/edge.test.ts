import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { request } from 'undici'
import { sendRequest } from '../standins/caller.js'
import { Deployment } from '../standins/deployment.js'
import { apiKeyOf, renderSettings } from '../standins/documents.js'
import { Child } from '../standins/process.js'

const PROGRAM = 'dist/marigoldvalve.cjs'
const NOWHERE = 'http://127.0.0.1:9'

function run (...args: string[]): { code: number | null, said: string } {
  const result = spawnSync(process.execPath, [PROGRAM, ...args], { encoding: 'utf8' })
  return { code: result.status, said: result.stderr }
}

async function status (port: number, path: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${port}${path}`)
  await response.body.dump()
  return response.statusCode
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

describe('the command line', () => {
  const folder = mkdtempSync(join(tmpdir(), 'marigoldvalve-cli-'))
  const file = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text)
    return join(folder, name)
  }
  after(() => rmSync(folder, { recursive: true }))

  it('names file, key and value of bad settings, and exits with 2', () => {
    const { code, said } = run('serve', '--settings', file('bad.toml', 'host = "A B"\n'))
    expect(code).toEqual(2)
    expect(said.includes('bad.toml: host: "A B": expected a host name')).toEqual(true)
  })

  it('says where TOML is broken', () => {
    const { code, said } = run('check', file('broken.toml', 'host = \n'))
    expect([code, said.includes('broken.toml')]).toEqual([2, true])
  })

  it('exits with 4 if the host is out of reach', () => {
    const key = file('key', 'k')
    expect(run('status', '--at', NOWHERE, '--key-file', key).code).toEqual(4)
  })

  it('keeps a host alive, but not ready, while the table is out of reach', async () => {
    file('peer.key', 'k')
    file('platform.key', 'k')
    const settings = renderSettings({
      name: 'lonely', dataCentre: 'north', directory: folder, platformUrl: NOWHERE, extraSettings: '', peerIp: '127.0.0.1', announcedPort: undefined
    })
    const { child, port } = await Child.start(PROGRAM, ['serve', '--settings', file('host.toml', settings)], line =>
      line.includes('"listening"') ? (JSON.parse(line) as { port: number }).port : undefined)
    await pause(1_500)
    expect([await status(port, '/healthz'), await status(port, '/readyz')]).toEqual([200, 503])
    expect(child.output.some(line => line.includes('the table does not answer'))).toEqual(true)
    await child.kill()
  })
})

describe('callers that misbehave', { timeout: 60_000 }, () => {
  const deployment = new Deployment({
    hosts: 2,
    engines: [{
      name: 'slow', models: ['plain'], dataCentre: 'north', maxBatchSize: 4, stepMs: 20, stepPerSequenceMs: 0, prefillTokensPerMs: 10
    }],
    workers: 0,
    organisations: ['acme'],
    classes: '[classes.chat]\ntier = 2\nmodel = "plain"\nstart_within = "5s"\nfinish_within = "60s"\n'
  })
  before(async () => { await deployment.start() })
  after(async () => { await deployment.stop() })

  async function running (): Promise<number> {
    const dumps = await Promise.all(deployment.hosts.map(async host => await deployment.callAdmin(host, 'GET', '/dump')))
    const states = dumps.map(each => JSON.parse(each.body) as { owned: Array<{ running: number }> })
    return states.flatMap(state => state.owned).reduce((sum, server) => sum + server.running, 0)
  }

  it('have their stream cancelled on the engine when they go away', async () => {
    for (const host of deployment.hosts) {
      const controller = new AbortController()
      const ask = { organisation: 'acme', className: 'chat', input: 'x', tokens: 2_000, nonce: 'gone' }
      const sent = sendRequest(host.port, { ...ask, signal: controller.signal })
      await pause(600)
      expect(await running()).toEqual(1)
      controller.abort()
      await sent
      await pause(600)
      expect(await running()).toEqual(0)
    }
  })

  it('see a cut answer as cut', async () => {
    await deployment.setFaults(deployment.engines[0]!, { truncateAfter: 10 })
    const got = await sendRequest(deployment.hosts[0]!.port, {
      organisation: 'acme', className: 'chat', input: 'x', tokens: 40, nonce: 'cut'
    })
    await deployment.setFaults(deployment.engines[0]!, { truncateAfter: 0 })
    expect([got.outcome, got.status]).toEqual(['unknown', 200])
  })

  it('get the whole response as JSON if they want no stream', async () => {
    const headers = { authorization: `Bearer ${apiKeyOf('acme')}`, 'content-type': 'application/json' }
    const body = JSON.stringify({ input: 'x', max_output_tokens: 5, metadata: { class: 'chat' } })
    const url = `http://127.0.0.1:${deployment.hosts[0]!.port}/v1/responses`
    const response = await request(url, { method: 'POST', headers, body })
    const json = await response.body.json() as { status: string, usage: { output_tokens: number } }
    expect([json.status, json.usage.output_tokens]).toEqual(['completed', 5])
  })
})
