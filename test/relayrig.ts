import { MonotonicClock, SeededRandom } from '../src/base/index.js'
import { DispatchListener, Gossip, Hub, type Member } from '../src/dispatch/index.js'
import { type BackendServer, Fleet } from '../src/fleet/index.js'
import {
  BufferBudget, ConnectionPool, DirectTransport, type Paths, probeConnection, Reachability
} from '../src/forward/index.js'
import { RelayPaths, RelayPool, RelayService } from '../src/relay/index.js'
import type { Deployment } from '../src/routing/index.js'
import { Scheduler } from '../src/schedule/index.js'
import { RecordedLog } from './recordedlog.js'
import { BUFFER_BYTES, HEADER_NAMES, Rig, type Script, type ScriptedServer, WIDE_LIMITS } from './rig.js'
import { waitFor } from './testhost.js'

const clock = new MonotonicClock()

function createReachability (): Reachability {
  return new Reachability({
    clock, random: new SeededRandom(1), listAddresses: () => [], probe: probeConnection, onChange: () => undefined
  })
}

/** A host that relays requests for others. */
export class RelayingHost {
  readonly fleet = new Fleet()
  readonly service: RelayService
  isAccepting = true
  member: Member
  private readonly pool = new ConnectionPool(new RecordedLog().logger)
  private readonly listener: DispatchListener

  private constructor (name: string) {
    const reachability = createReachability()
    this.member = { host: name, address: '', cores: 1 }
    this.service = new RelayService({
      headerNames: HEADER_NAMES,
      fleet: this.fleet,
      transport: new DirectTransport(this.pool, reachability, HEADER_NAMES.attemptId),
      reachability,
      bufferBudget: new BufferBudget(BUFFER_BYTES),
      clock,
      log: new RecordedLog().logger,
      isAccepting: () => this.isAccepting
    })
    const hub = new Hub(new Scheduler(WIDE_LIMITS), new Gossip([], clock, () => undefined), clock)
    this.listener = new DispatchListener(hub, router => this.service.register(router))
  }

  static async start (name: string): Promise<RelayingHost> {
    const host = new RelayingHost(name)
    const port = await host.listener.listen('127.0.0.1', 0)
    host.member = { ...host.member, address: `127.0.0.1:${port}` }
    return host
  }

  setServers (servers: readonly BackendServer[]): void {
    for (const server of servers) this.fleet.apply({ id: server.id, revision: 1, server }, clock.now())
    this.pool.setIdleLimits(new Map(servers.map(({ address }) => [address, 4])))
  }

  /** Ends all connections at once, like a host that crashes. */
  crash (): void {
    this.listener.close()
    this.pool.close()
  }
}

/** An ingress that cannot reach the servers itself, and hosts that relay its requests. */
export class RelayRig {
  readonly rig = new Rig()
  readonly hosts: RelayingHost[] = []
  servers: ScriptedServer[] = []
  /** Whether the ingress reaches the servers itself. */
  canReachServers = false
  private readonly relays = new RelayPool('self', '127.0.0.1', new SeededRandom(1), clock)
  private readonly ownPool = new ConnectionPool(new RecordedLog().logger)

  static async start (
    currentDeployment: Deployment,
    scripts: Script[],
    hostCount = 1,
    prepare: (rig: Rig) => void = () => undefined,
    isRequest?: (text: string) => boolean
  ): Promise<RelayRig> {
    const relayRig = new RelayRig()
    const { rig, hosts, relays } = relayRig
    for (const script of scripts) relayRig.servers.push(await rig.addServer(script, isRequest))
    for (let i = 0; i < hostCount; i++) hosts.push(await RelayingHost.start(`relay-${i}`))
    for (const host of hosts) host.setServers(rig.servers)
    rig.paths = relayRig.createPaths()
    prepare(rig)
    await rig.listen(currentDeployment)
    relays.setMembers(hosts.map(({ member }) => member))
    relays.setActive(true)
    await waitFor(() => relays.usableHosts.length === hostCount)
    return relayRig
  }

  async close (): Promise<void> {
    await this.rig.close()
    this.relays.close()
    this.ownPool.close()
    for (const host of this.hosts) host.crash()
  }

  private createPaths (): Paths {
    const canReachServers = (): boolean => this.canReachServers
    const reachability = createReachability()
    const direct = new DirectTransport(this.ownPool, reachability, HEADER_NAMES.attemptId)
    const state = { get canReachServers () { return canReachServers() }, tick: () => undefined }
    return new RelayPaths(direct, state, this.relays)
  }
}
