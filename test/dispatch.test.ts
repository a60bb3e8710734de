import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { Ranking, SteadyClock } from '../src/base/index.js'
import { SchedulerSelector, Dispatcher, DispatchListener, Gossip, Hub, type Member, type Placement, type JobHandle } from '../src/dispatch/index.js'
import { Outcome, Scheduler } from '../src/schedule/index.js'
import { Replica, type Row } from '../src/store/index.js'
import { job, server } from './jobs.js'
import { organisation, WIDE } from './rig.js'

const clock = new SteadyClock()

/** A host with a scheduler, linked to others on loopback; it follows no store. */
class TestHost {
  readonly scheduler = new Scheduler(WIDE)
  readonly rows = new Map<string, Row>()
  readonly replica = new Replica('rows', row => this.rows.set(row.key, row).has(row.key))
  /** The schedulers that were chosen, in order. */
  readonly chosen: string[] = []
  /** Tables in which it lagged. */
  readonly lags: string[] = []
  readonly gossip = new Gossip([this.replica], clock, tables => { this.lags.push(...tables) })
  readonly hub = new Hub(this.scheduler, this.gossip, clock)
  readonly dispatcher = new Dispatcher(clock, WIDE.retries)
  readonly choice: SchedulerSelector
  address = ''
  cores = 1
  private readonly listener = new DispatchListener(this.hub)
  private readonly timer: NodeJS.Timeout

  constructor (readonly name: string, ip: string) {
    this.choice = new SchedulerSelector(name, ip, this.hub, this.dispatcher, this.gossip, clock, scheduler => {
      this.chosen.push(scheduler)
    })
    this.timer = setInterval(() => this.tick(), 10)
  }

  async listen (): Promise<Member> {
    this.address = `127.0.0.1:${await this.listener.listen('127.0.0.1', 0)}`
    return { host: this.name, address: this.address, cores: this.cores }
  }

  /** Stops everything but the sockets' own answers, as a frozen host does. */
  freeze (): void {
    clearInterval(this.timer)
    this.hub.connect = () => ({ send: () => undefined })
    for (const host of this.hub.connectedHosts) this.hub.disconnect(host)
  }

  close (): void {
    clearInterval(this.timer)
    this.choice.close()
    this.listener.close()
  }

  private tick (): void {
    this.gossip.tick()
    this.choice.tick()
    this.hub.tick()
  }
}

async function until (holds: () => boolean): Promise<void> {
  for (let i = 0; i < 400 && !holds(); i++) await new Promise(resolve => setTimeout(resolve, 10))
  expect(holds()).toEqual(true)
}

function ask (host: TestHost, stated: Parameters<typeof job>[1] = {}): { ticket: JobHandle, placements: Placement[] } {
  const placements: Placement[] = []
  const now = clock.now()
  const wanted = job('', { arrivedAt: now, deadlineAt: now + 5_000, ...stated })
  return { ticket: host.dispatcher.request(wanted, placement => placements.push(placement)), placements }
}

describe('hosts that share a scheduler', () => {
  let hosts: TestHost[] = []
  afterEach(() => { hosts.forEach(host => host.close()) })

  /** Starts hosts that know each other, in the order of the ranking. */
  async function start (count: number): Promise<TestHost[]> {
    const names = Array.from({ length: count }, (_, at) => `host-${at}`)
    const ranked = new Ranking(names).top('scheduler', count)
    hosts = ranked.map(name => new TestHost(name, '127.0.0.1'))
    const members: Member[] = []
    for (const host of hosts) members.push(await host.listen())
    for (const host of hosts) {
      host.scheduler.setServers([server('a', { slots: 2 })])
      host.choice.setMembers(members)
    }
    await until(() => hosts.every(host => host.choice.schedulerHost === ranked[0]))
    return hosts
  }

  it('never give more places than a server has, wherever the asks come from', async () => {
    const [first, second, third] = await start(3)
    const asked = [first!, second!, third!, third!].map(host => ask(host))
    await until(() => asked.filter(({ placements }) => placements.length === 1).length === 2)
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(asked.filter(({ placements }) => placements.length === 1).length).toEqual(2)
    for (const { ticket, placements } of asked) if (placements.length === 1) ticket.reportEnded(Outcome.done)
    await until(() => asked.every(({ placements }) => placements.length === 1))
  })

  it('ask the next one when the first is gone, and tell it what runs', async () => {
    const [first, second, third] = await start(3)
    const running = ask(third!)
    await until(() => running.placements.length === 1)
    first!.close()
    await until(() => third!.choice.schedulerHost === second!.name && second!.choice.schedulerHost === second!.name)
    const more = [ask(third!), ask(third!)]
    await until(() => more.some(({ placements }) => placements.length === 1))
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(more.filter(({ placements }) => placements.length === 1).length).toEqual(1)
  })

  // Load: hosts are replaced in turn at the peak; each by itself would fill the servers with its own share.
  it('do not decide by themselves between a scheduler that is lost and the next one', async () => {
    const [first, second, third, fourth] = await start(4)
    for (const host of hosts) host.chosen.length = 0
    first!.close()
    await until(() => fourth!.choice.schedulerHost === second!.name && third!.choice.schedulerHost === second!.name)
    expect([third!.chosen, fourth!.chosen]).toEqual([[second!.name], [second!.name]])
  })

  it('know what the scheduler learned and had left when they follow it', async () => {
    const [first, second] = await start(2)
    for (const host of hosts) {
      host.scheduler.setOrganisations([{ ...organisation('o'), ratePerS: 0.001, burst: 20 }], clock.now())
    }
    const { ticket, placements } = ask(second!, { organisation: 'o', units: 3, rank: 0, promptTokens: 0 })
    await until(() => placements.length === 1)
    ticket.reportEnded(Outcome.done, 77)
    await until(() => first!.scheduler.loads.speeds.length === 1)
    first!.hub.publishSpeedEstimates()
    await until(() => second!.scheduler.loads.speeds.length === 1)
    expect(second!.scheduler.loads.speeds[0]!.stepMs).toEqual(77)
    first!.close()
    await until(() => second!.choice.schedulerHost === second!.name)
    const more = [3, 3].map(units => ask(second!, { organisation: 'o', units, rank: 0, promptTokens: 0 }))
    await until(() => more.every(each => each.placements.length === 1))
    expect(more.map(each => each.placements[0]!.kind)).toEqual(['granted', 'refused'])
  })

  // Load: hosts of unlike size; the smallest would be busy with the asks of all others.
  it('ask the one with most processor cores, and the next of them when it is gone', async () => {
    await start(4)
    const last = hosts[3]!
    last.cores = 1.35
    hosts[2]!.cores = 1.1
    const members = hosts.map(({ name, address, cores }) => ({ host: name, address, cores }))
    for (const host of hosts) host.choice.setMembers(members)
    await until(() => hosts.every(host => host.choice.schedulerHost === last.name))
    last.close()
    await until(() => hosts.slice(0, 3).every(host => host.choice.schedulerHost === hosts[2]!.name))
  })

  it('ask one that leaves until the next one is linked', async () => {
    const [first, second, third] = await start(3)
    const members = [second!, third!].map(host => ({ host: host.name, address: host.address, cores: 1 }))
    for (const host of hosts) host.chosen.length = 0
    for (const host of hosts) host.choice.setMembers(members)
    expect(third!.choice.schedulerHost).toEqual(first!.name)
    await until(() => third!.choice.schedulerHost === second!.name)
    expect(third!.chosen).toEqual([second!.name])
  })

  it('keep a link that was idle when the next request comes', async () => {
    const [first, second] = await start(2)
    for (let i = 0; i < 3; i++) {
      await new Promise(resolve => setTimeout(resolve, 800))
      const { ticket, placements } = ask(second!)
      second!.choice.tick()
      await until(() => placements.length === 1)
      expect(second!.choice.schedulerHost).toEqual(first!.name)
      ticket.reportEnded(Outcome.done)
    }
  })

  it('place a request within part of its objective when the scheduler falls silent', async () => {
    const [first, second] = await start(2)
    first!.freeze()
    const askedAt = clock.now()
    const { placements } = ask(second!)
    await until(() => placements.length === 1)
    expect(clock.now() - askedAt < 300).toEqual(true)
  })

  it('bring rows to a host that the store turns away', async () => {
    const [first, second] = await start(2)
    first!.replica.apply({ table: 'rows', key: 'k', value: Buffer.from('v'), revision: 7 }, clock.now())
    first!.hub.broadcastVersionVector()
    await until(() => second!.rows.get('k')?.value?.toString() === 'v')
    expect(second!.lags).toEqual(['rows'])
    second!.replica.apply({ table: 'rows', key: 'k', value: undefined, revision: 9 }, clock.now())
    second!.choice.sendVersionVector()
    await until(() => first!.rows.get('k')?.revision === 9)
    expect(first!.rows.get('k')?.value).toEqual(undefined)
  })
})
