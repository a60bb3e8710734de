import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { RowStore } from '../platform/rowstore.js'
import { ServiceClient } from '../src/service/index.js'
import { sleep } from './hostfleet.js'
import { ScriptedServer } from './scriptedserver.js'

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'
const ROWS = '{"rows": [], "truncated": false, "row_version": 1, "now_ms": 5}'

/** Time between the parts of a response, in milliseconds. */
const PAUSE_MS = 20

/** Time from the last bytes to the reset, in milliseconds; at 0 both arrive in one turn of the event loop. */
const RESET_DELAYS_MS = [0, PAUSE_MS]

describe('a response without a length outside the gateway', { timeout: 30_000 }, () => {
  let server: ScriptedServer
  afterEach(() => server.close())

  async function start (body: string, end: 'reset' | 'end', delayMs = 0): Promise<void> {
    server = await ScriptedServer.start(async (_, __, socket) => {
      socket.write(HEAD)
      await sleep(PAUSE_MS)
      socket.write(body)
      if (delayMs > 0) await sleep(delayMs)
      if (end === 'reset') socket.resetAndDestroy()
      else socket.end()
    })
  }

  const call = { method: 'POST', path: '/a', headers: {}, body: Buffer.from('fee=25'), timeoutMs: 2_000 }

  for (const delayMs of RESET_DELAYS_MS) {
    // Guards against half of a response of a plain service that is passed on, and recorded, as the whole.
    it(`of a plain service is broken if it is reset after ${delayMs} ms`, async () => {
      await start('receipt, part 1 of 2', 'reset', delayMs)
      const client = new ServiceClient(1 << 20)
      const result = await client.send(`http://${server.address}`, call)
      await client.close()
      expect(result.isErr() && result.error.code).toEqual('broken')
    })

    // Guards against a part of the rows of the store that counts as all of them.
    it(`of the store is no response if it is reset after ${delayMs} ms`, async () => {
      for (let bytes = 0; bytes < ROWS.length; bytes += 7) {
        await start(ROWS.slice(0, bytes), 'reset', delayMs)
        const store = new RowStore(server.address)
        const result = await store.list('servers', 1_000)
        await store.close()
        server.close()
        expect(result.isErr() && result.error.code).toEqual('unanswered')
      }
    })
  }

  // Guards against a response that is refused because its server marks its end by that of the connection.
  it('is complete if its connection ends', async () => {
    await start('receipt', 'end')
    const client = new ServiceClient(1 << 20)
    const result = await client.send(`http://${server.address}`, call)
    await client.close()
    expect(result._unsafeUnwrap().body.toString()).toEqual('receipt')
  })
})
