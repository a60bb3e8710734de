import { describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import { Configuration, type ConfigurationChange, isRepeatable, parseChangeSteps } from '../src/config/index.js'
import { ConfigurationLog } from '../src/host/configlog.js'
import { Journal } from '../src/journal/index.js'
import { MemoryTable } from '../src/platform/index.js'
import { parseSettings } from '../src/settings/index.js'
import { flushPromises, ManualClock } from './time.js'

const log = createLogger({ name: 'test', level: 'fatal' })
const CLASS_DOCUMENT = '[classes.chat]\ntier = 2\nmodel = "m"\nstart_within = "1s"\nfinish_within = "20s"\n'

/** Creates the configuration of a host that uses the table. */
function createConfigurations (table: MemoryTable): ConfigurationLog {
  return new ConfigurationLog(new Journal<ConfigurationChange>(table, 'config'), new ManualClock(), log)
}

function errorMessage (text: string): string {
  return parseChangeSteps('desk.toml', text)._unsafeUnwrapErr().message
}

function parseTestChanges (text: string = CLASS_DOCUMENT): Parameters<Configuration['apply']>[0] {
  return parseChangeSteps('desk.toml', text)._unsafeUnwrap()
}

describe('a configuration document', () => {
  it('suggests the most similar known key for an unknown key', () => {
    expect(errorMessage(CLASS_DOCUMENT.replace('tier', 'teir'))).toEqual(
      'desk.toml: classes.chat: unknown key "teir"; did you mean "tier"?')
  })

  it('reports file, key and value for an invalid value', () => {
    expect(errorMessage(CLASS_DOCUMENT.replace('"1s"', '"soon"'))).toEqual(
      'desk.toml: classes.chat.start_within: "soon": expected a duration such as "630ms", "2s" or "5m"')
  })

  it('rejects weights', () => {
    expect(errorMessage(`${CLASS_DOCUMENT}weight = 3\n`).includes('unknown key "weight"')).toEqual(true)
  })

  it('rejects a server whose service is not configured', () => {
    const text = '[servers.w]\nkind = "service"\naddress = "http://10.0.0.1:80"\ndata_centre = "dc"\nservice = "none"\n'
    expect(Configuration.empty.apply(parseTestChanges(text))._unsafeUnwrapErr().message).toEqual(
      'servers.w.service: "none" is no configured service')
  })

  it('allows retries of a call only if it is listed as repeatable', () => {
    const service = { name: 's', timeoutMs: 1, repeatable: [{ method: 'GET', path: '/bays/*' }] }
    expect(isRepeatable(service, { method: 'GET', path: '/bays/7' })).toEqual(true)
    expect(isRepeatable(service, { method: 'POST', path: '/bays/7' })).toEqual(false)
    expect(isRepeatable(service, { method: 'GET', path: '/bays/7/unlock' })).toEqual(false)
  })
})

describe('settings', () => {
  it('report the file when a required key is missing', () => {
    expect(parseSettings('host.toml', 'host = "a"\n')._unsafeUnwrapErr().message.startsWith('host.toml: ')).toEqual(true)
  })

  it('accept only IP addresses as listen.ip', () => {
    const text = 'host = "a"\ndata_centre = "d"\n[listen]\nip = "example.org"\nport = 1\n'
    const { message } = parseSettings('host.toml', text)._unsafeUnwrapErr()
    expect(message).toEqual('host.toml: listen.ip: "example.org": expected an IP number')
  })
})

describe('operators that submit concurrently', () => {
  it('get one accepted change, and every host has the same configuration', async () => {
    const table = new MemoryTable()
    const [a, b] = [createConfigurations(table), createConfigurations(table)]
    const results = await Promise.all([
      a.submit('ann', parseTestChanges(), 0),
      b.submit('ben', parseTestChanges(CLASS_DOCUMENT.replace('2', '3')), 0)
    ])
    expect(results.map(result => result.isOk()).sort()).toEqual([false, true])
    expect(results.find(result => result.isErr())?._unsafeUnwrapErr().code).toEqual('conflict')
    await Promise.all([a.poll(), b.poll()])
    expect(a.configuration.classes).toEqual(b.configuration.classes)
  })
})

describe('a submitted configuration', () => {
  it('is accepted although the reply to its write was lost', async () => {
    const table = new MemoryTable()
    table.faults.losesResponses = true
    expect((await createConfigurations(table).submit('ann', parseTestChanges(), 0))._unsafeUnwrap()).toEqual(1)
  })

  it('is not accepted while the table is down, and no part of it is applied', async () => {
    const table = new MemoryTable()
    const a = createConfigurations(table)
    table.faults.isDown = true
    expect((await a.submit('ann', parseTestChanges(), 0))._unsafeUnwrapErr().code).toEqual('unknown')
    expect(a.configuration.revision).toEqual(0)
  })

  it('is received from another host while the table is down', async () => {
    const table = new MemoryTable()
    const [a, b] = [createConfigurations(table), createConfigurations(table)]
    await a.submit('ann', parseTestChanges(), 0)
    table.faults.isDown = true
    b.receive(a.entriesSince(b.revision))
    expect(b.configuration.classes.has('chat')).toEqual(true)
  })

  it('is not reverted by old entries that arrive late', async () => {
    const table = new MemoryTable()
    const [a, b] = [createConfigurations(table), createConfigurations(table)]
    await a.submit('ann', parseTestChanges(), 0)
    const oldEntries = a.entriesSince(0)
    await a.submit('ann', parseTestChanges(CLASS_DOCUMENT.replace('tier = 2', 'tier = 3')), 1)
    await b.poll()
    b.receive(oldEntries)
    await flushPromises()
    expect([b.revision, b.configuration.classes.get('chat')?.tier]).toEqual([2, 3])
  })
})
