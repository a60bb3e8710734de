import { expect } from 'earl'
import { MonotonicClock } from '../src/base/index.js'
import {
  Dispatcher, DispatchListener, Gossip, Hub, type JobHandle, type Member, type Placement, SchedulerSelector
} from '../src/dispatch/index.js'
import { Scheduler } from '../src/schedule/index.js'
import { Replica, type Row } from '../src/store/index.js'
import { job } from './jobs.js'
import { WIDE_LIMITS } from './rig.js'

/** Monotonic time of all hosts of a test. */
export const clock = new MonotonicClock()

/** A host with a scheduler, linked to other hosts on loopback, without a store. */
export class TestHost {
  readonly scheduler = new Scheduler(WIDE_LIMITS)
  readonly rows = new Map<string, Row>()
  readonly replica = new Replica('rows', row => this.rows.set(row.key, row).has(row.key))
  /** The schedulers that were selected, in order. */
  readonly selectedSchedulers: string[] = []
  /** Tables in which this host lacked rows of its peers. */
  readonly laggingTables: string[] = []
  /** Time since the store last responded to this host, in milliseconds; undefined if it never did. */
  storeAgeMs: number | undefined
  readonly gossip = new Gossip([this.replica], clock, tables => { this.laggingTables.push(...tables) },
    () => this.storeAgeMs)

  /** Ids of the servers of which hosts reported that they leave. */
  readonly leavingServers: string[] = []
  readonly hub = new Hub(this.scheduler, this.gossip, clock, () => undefined, id => { this.leavingServers.push(id) })
  readonly dispatcher = new Dispatcher(clock, WIDE_LIMITS.retries)
  readonly selector: SchedulerSelector
  address = ''
  cores = 1
  private readonly listener = new DispatchListener(this.hub)
  private readonly timer: NodeJS.Timeout

  constructor (readonly name: string, ip: string) {
    this.selector = new SchedulerSelector(name, ip, this.hub, this.dispatcher, this.gossip, clock, scheduler => {
      this.selectedSchedulers.push(scheduler)
    })
    this.timer = setInterval(() => this.tick(), 10)
  }

  async listen (): Promise<Member> {
    this.address = `127.0.0.1:${await this.listener.listen('127.0.0.1', 0)}`
    return { host: this.name, address: this.address, cores: this.cores }
  }

  /** Stops all processing while the sockets stay open, as on a frozen host. */
  freeze (): void {
    clearInterval(this.timer)
    this.hub.connect = () => ({ send: () => undefined })
    for (const host of this.hub.connectedHosts) this.hub.disconnect(host)
  }

  close (): void {
    clearInterval(this.timer)
    this.selector.close()
    this.listener.close()
  }

  private tick (): void {
    this.gossip.tick()
    this.selector.tick()
    this.hub.tick()
  }
}

/** Waits until a condition holds, or fails after some seconds. */
export async function waitFor (condition: () => boolean): Promise<void> {
  for (let i = 0; i < 400 && !condition(); i++) await new Promise(resolve => setTimeout(resolve, 10))
  expect(condition()).toEqual(true)
}

/** Requests a slot for a job through a host; `placements` receives the result. */
export function submit (
  host: TestHost, overrides: Parameters<typeof job>[1] = {}
): { handle: JobHandle, placements: Placement[] } {
  const placements: Placement[] = []
  const now = clock.now()
  const newJob = job('', { arrivedAt: now, deadlineAt: now + 5_000, ...overrides })
  return { handle: host.dispatcher.request(newJob, placement => placements.push(placement)), placements }
}
