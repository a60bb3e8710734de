import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RowStore } from '../platform/rowstore.js'
import { EngineClient } from '../src/engine/index.js'
import { HttpHostList, S3ObjectStore } from '../src/platform/index.js'
import { ServiceClient } from '../src/service/index.js'
import { FloodingScript } from './flood.js'
import { waitFor } from './hostprocess.js'
import { ScriptedServer } from './scriptedserver.js'

/** Most bytes that a server may get rid of before its connection is closed, with the system's socket buffers. */
const MAX_SENT_BYTES = 48 << 20

/** Time without data after which an engine's response is aborted, in milliseconds. */
const IDLE_TIMEOUT_MS = 1_000

/** Time limit of the other calls, in milliseconds; longer than a server needs to send all it has. */
const TIMEOUT_MS = 5_000

const BODIES: Readonly<Record<string, string>> = {
  'without a length': 'HTTP/1.1 200 OK\r\n\r\n',
  'with a length of 2^40': `HTTP/1.1 200 OK\r\nContent-Length: ${2 ** 40}\r\n\r\n`
}

describe('a body without end outside the gateway', { timeout: 60_000 }, () => {
  let server: ScriptedServer
  let flooding: FloodingScript
  afterEach(() => server.close())

  async function start (head: string, unit = 'x'): Promise<string> {
    flooding = new FloodingScript(head, unit)
    server = await ScriptedServer.start(flooding.script)
    return server.address
  }

  /** Checks that each connection was closed long before the server had sent all it has. */
  async function expectClosed (): Promise<void> {
    await waitFor(() => flooding.floods.every(({ wasClosed }) => wasClosed))
    const sent = flooding.floods.map(({ sentBytes }) => sentBytes)
    expect(sent.length > 0).toEqual(true)
    expect(sent.filter(bytes => bytes > MAX_SENT_BYTES)).toEqual([])
  }

  for (const [name, head] of Object.entries(BODIES)) {
    // Guards against the end of the process for want of memory, because a plain service sends without end.
    it(`is a broken response of a plain service: ${name}`, async () => {
      const address = await start(head)
      const client = new ServiceClient(1 << 20)
      const call = { method: 'POST', path: '/a', headers: {}, body: Buffer.from('x'), timeoutMs: TIMEOUT_MS }
      const result = await client.send(`http://${address}`, call)
      expect(result.isErr() && result.error.code).toEqual('broken')
      await expectClosed()
      await client.close()
    })

    // Guards against the end of the process for want of memory, because an engine describes a failure without end.
    it(`is a broken response of an engine that fails: ${name}`, async () => {
      const address = await start(head.replace('200 OK', '500 Fault'))
      const client = new EngineClient(IDLE_TIMEOUT_MS)
      const result = await client.create(`http://${address}`, '{}')
      expect(result.isErr() && result.error.code).toEqual('broken')
      await expectClosed()
      await client.close()
    })

    // Guards against the end of the process for want of memory, because the store sends without end.
    it(`is no list of the store: ${name}`, async () => {
      const store = new RowStore(await start(head))
      const result = await store.list('servers', TIMEOUT_MS)
      expect(result.isErr() && result.error.code).toEqual('unanswered')
      await expectClosed()
      await store.close()
    })

    // Guards against the same, and against a follower that asks for changes that are too many again and again.
    it(`makes changes of the store count as forgotten: ${name}`, async () => {
      const store = new RowStore(await start(head))
      const result = await store.awaitChanges('servers', 1, 0, TIMEOUT_MS, new AbortController().signal)
      expect(result.isErr() && result.error.code).toEqual('forgotten')
      await expectClosed()
      await store.close()
    })

    // Guards against the end of the process for want of memory, because the list of hosts does not end.
    it(`is no list of hosts: ${name}`, async () => {
      const list = new HttpHostList(`http://${await start(head, ' ')}/hosts`, TIMEOUT_MS)
      expect((await list.list()).isErr()).toEqual(true)
      await expectClosed()
    })

    // Guards against the end of the process for want of memory, because an object does not end.
    it(`is no object: ${name}`, async () => {
      const access = { region: 'r', accessKey: 'a', secretKey: 'b', timeoutMs: TIMEOUT_MS }
      const store = new S3ObjectStore({ address: `http://${await start(head)}`, ...access }, 'bucket')
      expect((await store.get('name')).isErr()).toEqual(true)
      await expectClosed()
      await store.close()
    })
  }
})
