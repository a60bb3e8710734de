import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answer, HostFleet, sleep } from './hostfleet.js'

const HOSTS = 3

/** First port of the hosts under test. */
const FIRST_PORT = 29_800

/** Time in which hosts try several times to link to the member, in milliseconds. */
const RUN_MS = 3_000

/** More processor cores than any other member has, so that all hosts link to it first. */
const CORES = 64

describe('hosts whose list names a member at an address that another service uses', () => {
  let fleet: HostFleet
  let other: Server
  afterEach(async () => {
    await fleet.close()
    other.close()
  })

  // Guards against the end of all processes: the HTTP/1.1 response to a link is a protocol error of HTTP/2, which was
  // emitted after the link had been aborted, when nothing listened.
  it('keep running and serving', async () => {
    other = createServer(socket => {
      socket.on('error', () => undefined)
      socket.once('data', () => socket.write('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n'))
    })
    await new Promise<void>(resolve => { other.listen(0, '127.0.0.1', resolve) })
    fleet = await HostFleet.start(HOSTS, FIRST_PORT, answer, ['safe'])
    const { port } = other.address() as AddressInfo
    fleet.store.put('members', 'gone', { address: `127.0.0.1:${port}`, cores: CORES })
    await sleep(RUN_MS)
    expect(fleet.hosts.map(({ process }) => process.exitCode)).toEqual(fleet.hosts.map(() => null))
    const statuses = (await fleet.callAll('/safe/', 20, 20)).flat()
    expect(statuses.filter(status => status !== 200)).toEqual([])
  })
})
