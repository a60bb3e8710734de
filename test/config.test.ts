import { describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import { type Changes, Configuration, isRepeatable, parseChanges } from '../src/config/index.js'
import { ConfigurationLog } from '../src/host/configlog.js'
import { Journal } from '../src/journal/index.js'
import { MemoryTable } from '../src/platform/index.js'
import { parseSettings } from '../src/settings/index.js'
import { flushPromises, ManualClock } from './time.js'

const log = createLogger({ name: 'test', level: 'fatal' })
const CLASS = '[classes.chat]\ntier = 2\nmodel = "m"\nstart_within = "1s"\nfinish_within = "20s"\n'

function host (table: MemoryTable): ConfigurationLog {
  return new ConfigurationLog(new Journal<Changes>(table, 'config'), new ManualClock(), log)
}

function message (text: string): string {
  return parseChanges('desk.toml', text)._unsafeUnwrapErr().message
}

function steps (text: string = CLASS): Parameters<Configuration['apply']>[0] {
  return parseChanges('desk.toml', text)._unsafeUnwrap()
}

describe('a configuration document', () => {
  it('names the nearest known key for an unknown one', () => {
    expect(message(CLASS.replace('tier', 'teir'))).toEqual(
      'desk.toml: classes.chat: unknown key "teir"; did you mean "tier"?')
  })

  it('names file, key and value of a wrong one', () => {
    expect(message(CLASS.replace('"1s"', '"soon"'))).toEqual(
      'desk.toml: classes.chat.start_within: "soon": expected a duration such as "630ms", "2s" or "5m"')
  })

  it('takes no weights', () => {
    expect(message(`${CLASS}weight = 3\n`).includes('unknown key "weight"')).toEqual(true)
  })

  it('takes no server of a service that is not stated', () => {
    const text = '[servers.w]\nkind = "service"\naddress = "http://10.0.0.1:80"\ndata_centre = "dc"\nservice = "none"\n'
    expect(Configuration.empty.apply(steps(text))._unsafeUnwrapErr().message).toEqual(
      'servers.w.service: "none" is no configured service')
  })

  it('lets a call be repeated only if an operator named it', () => {
    const service = { name: 's', timeoutMs: 1, repeatable: [{ method: 'GET', path: '/bays/*' }] }
    expect(isRepeatable(service, { method: 'GET', path: '/bays/7' })).toEqual(true)
    expect(isRepeatable(service, { method: 'POST', path: '/bays/7' })).toEqual(false)
    expect(isRepeatable(service, { method: 'GET', path: '/bays/7/unlock' })).toEqual(false)
  })
})

describe('settings', () => {
  it('name the key that is missing', () => {
    expect(parseSettings('host.toml', 'host = "a"\n')._unsafeUnwrapErr().message.startsWith('host.toml: ')).toEqual(true)
  })

  it('take IP numbers only', () => {
    const text = 'host = "a"\ndata_centre = "d"\n[listen]\nip = "example.org"\nport = 1\n'
    const { message: said } = parseSettings('host.toml', text)._unsafeUnwrapErr()
    expect(said).toEqual('host.toml: listen.ip: "example.org": expected an IP number')
  })
})

describe('racing operators', () => {
  it('see one winner, and every host the same configuration', async () => {
    const table = new MemoryTable()
    const [a, b] = [host(table), host(table)]
    const results = await Promise.all([a.submit('ann', steps(), 0), b.submit('ben', steps(CLASS.replace('2', '3')), 0)])
    expect(results.map(result => result.isOk()).sort()).toEqual([false, true])
    expect(results.find(result => result.isErr())?._unsafeUnwrapErr().code).toEqual('conflict')
    await Promise.all([a.poll(), b.poll()])
    expect(a.configuration.classes).toEqual(b.configuration.classes)
  })
})

describe('an accepted configuration', () => {
  it('stands though the answer to its write was lost', async () => {
    const table = new MemoryTable()
    table.faults.losesResponses = true
    expect((await host(table).submit('ann', steps(), 0))._unsafeUnwrap()).toEqual(1)
  })

  it('is not accepted while the table is down, and nothing is half applied', async () => {
    const table = new MemoryTable()
    const a = host(table)
    table.faults.isDown = true
    expect((await a.submit('ann', steps(), 0))._unsafeUnwrapErr().code).toEqual('unknown')
    expect(a.configuration.revision).toEqual(0)
  })

  it('reaches a host from another while the table is down', async () => {
    const table = new MemoryTable()
    const [a, b] = [host(table), host(table)]
    await a.submit('ann', steps(), 0)
    table.faults.isDown = true
    b.receive(a.entriesSince(b.revision))
    expect(b.configuration.classes.has('chat')).toEqual(true)
  })

  it('never goes back, whatever old entries come late', async () => {
    const table = new MemoryTable()
    const [a, b] = [host(table), host(table)]
    await a.submit('ann', steps(), 0)
    const old = a.entriesSince(0)
    await a.submit('ann', steps(CLASS.replace('tier = 2', 'tier = 3')), 1)
    await b.poll()
    b.receive(old)
    await flushPromises()
    expect([b.revision, b.configuration.classes.get('chat')?.tier]).toEqual([2, 3])
  })
})
