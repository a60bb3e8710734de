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

const PROGRAM_PATH = 'dist/marigoldvalve.cjs'
const UNREACHABLE_URL = 'http://127.0.0.1:9'

/** Runs a command of the program until it exits. */
function runCommand (...args: string[]): { code: number | null, stderr: string } {
  const result = spawnSync(process.execPath, [PROGRAM_PATH, ...args], { encoding: 'utf8' })
  return { code: result.status, stderr: result.stderr }
}

/** Sends a GET request and returns the status of the response. */
async function statusOf (port: number, path: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${port}${path}`)
  await response.body.dump()
  return response.statusCode
}

function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

describe('the command line', () => {
  const directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-cli-'))
  const writeFile = (name: string, text: string): string => {
    writeFileSync(join(directory, name), text)
    return join(directory, name)
  }
  after(() => rmSync(directory, { recursive: true }))

  it('reports file, key and value for invalid settings, and exits with 2', () => {
    const { code, stderr } = runCommand('serve', '--settings', writeFile('bad.toml', 'host = "A B"\n'))
    expect(code).toEqual(2)
    expect(stderr.includes('bad.toml: host: "A B": expected a host name')).toEqual(true)
  })

  it('reports the file for invalid TOML', () => {
    const { code, stderr } = runCommand('check', writeFile('broken.toml', 'host = \n'))
    expect([code, stderr.includes('broken.toml')]).toEqual([2, true])
  })

  it('exits with 4 if the host is unreachable', () => {
    const key = writeFile('key', 'k')
    expect(runCommand('status', '--at', UNREACHABLE_URL, '--key-file', key).code).toEqual(4)
  })

  it('keeps a host alive, but not ready, while the table is unreachable', async () => {
    writeFile('peer.key', 'k')
    writeFile('platform.key', 'k')
    const settings = renderSettings({
      name: 'lonely',
      dataCentre: 'north',
      directory,
      platformUrl: UNREACHABLE_URL,
      extraSettings: '',
      peerIp: '127.0.0.1',
      announcedPort: undefined
    })
    const { child, port } = await Child.start(PROGRAM_PATH, ['serve', '--settings', writeFile('host.toml', settings)], line =>
      line.includes('"listening"') ? (JSON.parse(line) as { port: number }).port : undefined)
    await sleep(1_500)
    expect([await statusOf(port, '/healthz'), await statusOf(port, '/readyz')]).toEqual([200, 503])
    expect(child.output.some(line => line.includes('the table does not answer'))).toEqual(true)
    await child.kill()
  })
})

describe('a deployment', { timeout: 60_000 }, () => {
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

  /** Returns the number of requests that run on all servers, as their owners count them. */
  async function countRunning (): Promise<number> {
    const dumps = await Promise.all(deployment.hosts.map(async host => await deployment.callAdmin(host, 'GET', '/dump')))
    const states = dumps.map(dump => JSON.parse(dump.body) as { owned: Array<{ running: number }> })
    return states.flatMap(state => state.owned).reduce((sum, server) => sum + server.running, 0)
  }

  it('cancels a stream on the engine when its caller disconnects', async () => {
    for (const host of deployment.hosts) {
      const controller = new AbortController()
      const fields = { organisation: 'acme', className: 'chat', input: 'x', tokens: 2_000, nonce: 'gone' }
      const response = sendRequest(host.port, { ...fields, signal: controller.signal })
      await sleep(600)
      expect(await countRunning()).toEqual(1)
      controller.abort()
      await response
      await sleep(600)
      expect(await countRunning()).toEqual(0)
    }
  })

  it('does not deliver a truncated answer as complete', async () => {
    await deployment.setFaults(deployment.engines[0]!, { truncateAfter: 10 })
    const response = await sendRequest(deployment.hosts[0]!.port, {
      organisation: 'acme', className: 'chat', input: 'x', tokens: 40, nonce: 'cut'
    })
    await deployment.setFaults(deployment.engines[0]!, { truncateAfter: 0 })
    expect([response.outcome, response.status]).toEqual(['unknown', 200])
  })

  it('returns the complete response as JSON if no stream is requested', async () => {
    const headers = { authorization: `Bearer ${apiKeyOf('acme')}`, 'content-type': 'application/json' }
    const body = JSON.stringify({ input: 'x', max_output_tokens: 5, metadata: { class: 'chat' } })
    const url = `http://127.0.0.1:${deployment.hosts[0]!.port}/v1/responses`
    const response = await request(url, { method: 'POST', headers, body })
    const json = await response.body.json() as { status: string, usage: { output_tokens: number } }
    expect([json.status, json.usage.output_tokens]).toEqual(['completed', 5])
  })
})
