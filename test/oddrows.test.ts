import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { answer, HostFleet, sleep } from './hostfleet.js'

const HOSTS = 2

/** First port of the hosts under test. */
const FIRST_PORT = 30_200

/** Time in which the hosts read the rows, and try several times to use what these name, in milliseconds. */
const RUN_MS = 2_500

/** Nested more deeply than a recursive reader can follow. */
const DEPTH = 200_000
const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH)

/** Addresses that no connection can be made to. */
const ODD_ADDRESSES = ['127.0.0.1:84160', '127.0.0.1:0', '127.0.0.999:80', '127.0.0.1:1e3', '127.0.0.1', '::1', '%:1']

/** Values that rows of another writer may have in place of numbers. */
const ODD_NUMBERS = ['1e400', '-1', '9007199254740993', '1e308', '0.5', '"4"', 'null', NESTED]

const SERVER = { service: 's', address: '127.0.0.1:9', zone: 'z', version: 'v1', slots: 8, state: 'ready', born: 1 }

/** @returns the text of a row with one field replaced by other text */
function rowText (row: object, field: string, text: string): string {
  return JSON.stringify({ ...row, [field]: '@' }).replace('"@"', text)
}

/** @returns texts of rows that no host can use, for one table */
function oddTexts (row: object, numbers: readonly string[]): string[] {
  return [
    ...ODD_ADDRESSES.map(address => rowText(row, 'address', JSON.stringify(address))),
    ...numbers.flatMap(field => ODD_NUMBERS.map(text => rowText(row, field, text))),
    rowText(row, 'other', NESTED), NESTED, '', '{', 'null', '1e400', '\u0000'
  ]
}

describe('hosts that read rows of another writer', () => {
  let fleet: HostFleet
  afterEach(() => fleet.close())

  async function expectSound (): Promise<void> {
    await sleep(RUN_MS)
    expect(fleet.hosts.map(({ process }) => process.exitCode)).toEqual(fleet.hosts.map(() => null))
    const statuses = (await fleet.callAll('/safe/', 60, 10)).flat()
    expect(statuses.filter(status => status !== 200)).toEqual([])
  }

  // Guards against the end of all processes, again after each restart: a connection to a port that is out of range
  // throws where nothing handled it.
  it('keep running and serving with any entry of a server', async () => {
    fleet = await HostFleet.start(HOSTS, FIRST_PORT, answer, ['safe'])
    oddTexts(SERVER, ['slots', 'born', 'cold_remaining_ms', 'sequence']).forEach((text, index) => {
      fleet.store.putText('servers', `odd-${index}`, text)
    })
    await expectSound()
    // The rows that follow are read too.
    for (let index = 0; index < fleet.servers.length; index++) fleet.putServer(index, index === 0 ? 'ready' : 'draining')
    await sleep(RUN_MS)
    const before = fleet.servers.map(({ requests }) => requests.length)
    await fleet.callAll('/safe/', 20, 10)
    expect(fleet.servers.slice(1).map(({ requests }, i) => requests.length - before[i + 1]!)).toEqual([0, 0])
  })

  // Guards against the same for the hosts' own table, whose addresses were not checked at all.
  it('keep running and serving with any entry of a member', async () => {
    fleet = await HostFleet.start(HOSTS, FIRST_PORT + 20, answer, ['safe'])
    oddTexts({ address: '127.0.0.1:9', cores: 64 }, ['cores']).forEach((text, index) => {
      fleet.store.putText('members', `odd-${index}`, text)
    })
    await expectSound()
  })

  // Guards against the same for orders of operators and for reports on them.
  it('keep running and serving with any order or report', async () => {
    fleet = await HostFleet.start(HOSTS, FIRST_PORT + 40, answer, ['safe'])
    oddTexts({ service: 's', to: 'v2', duration_s: 20 }, ['duration_s', 'to', 'service']).forEach((text, index) => {
      fleet.store.putText('op', `rollout/odd-${index}`, text)
    })
    oddTexts({ state: 'running', to: 'v2' }, ['due_ms', 'to', 'state']).forEach((text, index) => {
      fleet.store.putText('status', `rollout/odd-${index}`, text)
    })
    for (const key of ['config/odd', 'evacuate/', 'evacuate/odd', 'odd']) fleet.store.putText('op', key, NESTED)
    await expectSound()
  })
})
