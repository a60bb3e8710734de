import { describe, it } from 'node:test'
import { expect } from 'earl'
import { deployment, respond, Rig } from './rig.js'

describe('a request whose headers are not received in time', () => {
  // Guards against proper requests that are refused as invalid: a host is stopped for longer than the time-out, so that
  // it has not read them. Callers retry after 408, but not after 400.
  it('is answered with 408, not with 400', async () => {
    const limits = { ...deployment().limits, headerTimeoutMs: 100 }
    const { rig, servers } = await Rig.start(deployment({ limits }), (_, __, socket) => respond(socket, '200 OK', ''))
    const caller = await rig.connect()
    caller.socket.write('GET /x HTTP/1.1\r\nHost: a.example\r\n')
    const response = await caller.readToEnd()
    expect(response.slice(0, 'HTTP/1.1 408'.length)).toEqual('HTTP/1.1 408')
    expect(servers[0]!.requests.length).toEqual(0)
    await rig.close()
  })
})
