import { connect, type Socket } from 'node:net'
import { Lifecycle, MonotonicClock, SeededRandom } from '../src/base/index.js'
import { Dispatcher, Gossip, Hub } from '../src/dispatch/index.js'
import { type BackendServer, Fleet } from '../src/fleet/index.js'
import {
  BufferBudget, ConnectionPool, DirectTransport, type HeaderNames, Ingress, type Paths, probeConnection, Reachability
} from '../src/forward/index.js'
import { Deployment, type DeploymentParts, QuotaUnit, RetrySafety, type Route } from '../src/routing/index.js'
import { Scheduler } from '../src/schedule/index.js'
import { RecordedLog } from './recordedlog.js'
import { type Script, ScriptedServer } from './scriptedserver.js'

export { respond, type Script, ScriptedServer } from './scriptedserver.js'

/** Header names in tests; a platform adapter defines its own. */
export const HEADER_NAMES: HeaderNames = {
  attemptId: 'x-attempt',
  deadline: 'x-deadline',
  key: 'x-key',
  organisation: 'x-organisation',
  serverId: 'x-server',
  notRun: 'x-not-run',
  requestLimit: 'x-request-limit',
  brittleness: 'x-brittle',
  leaving: 'x-leaving',
  lastEventId: 'x-last-event',
  tokenUsage: 'x-usage',
  promptParts: 'x-parts',
  lengthHint: 'x-length-hint',
  reserved: ['x-reserved']
}

/** Limits that a test does not reach unless it overrides them. */
export const WIDE_LIMITS = {
  retries: { ratio: 1, windowMs: 10_000, slack: 1_000 },
  quotaOvershoot: { share: 0, units: 0 },
  canaryExposure: { share: 0.1, slack: 50 }
}

const IDLE_CONNECTIONS_PER_SERVER = 8

/** Most connections of callers to a host. */
const MAX_CONNECTIONS = 1_000

/** Memory for the requests and responses of a host, in bytes. */
export const BUFFER_BYTES = 16 << 20

/** @returns a route with default properties, except for the given ones */
export function route (overrides: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'a.example',
    prefix: '/',
    retrySafety: RetrySafety.safe,
    isResumable: false,
    timeoutMs: 5_000,
    objectiveMs: 300,
    maxEventGapMs: 200,
    rank: 0,
    maxAttempts: 2,
    isPublic: true,
    targets: [{ service: 's', weight: 1 }],
    ...overrides
  }
}

/** @returns a deployment with default properties, except for the given ones */
export function deployment (overrides: Partial<DeploymentParts> = {}): Deployment {
  return new Deployment({
    revision: 1,
    routes: [route()],
    services: [{ name: 's', maxConnections: 100, kvCacheTokens: undefined, slots: undefined, coldRequestsPerS: 0, tokensPerEvent: 1 }],
    organisations: [],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1 << 20, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
    ...overrides
  })
}

/** @returns an organisation without a rate limit and with the API key `key-of-NAME` */
export function organisation (name: string, rank?: number): DeploymentParts['organisations'][number] {
  return { name, apiKeys: [`key-of-${name}`], rank, unit: QuotaUnit.requests, defaultTokens: 1, ratePerS: 0, burst: 0 }
}

/** An ingress with its own scheduler in front of scripted servers. */
export class Rig {
  readonly fleet = new Fleet()
  isClosing = false
  isAccepting = true
  /** How requests reach the servers; over own connections if undefined. */
  paths: Paths | undefined
  retryLimits = WIDE_LIMITS.retries
  retrySlackShare = 1
  readonly log = new RecordedLog()
  private readonly lifecycle = new Lifecycle()
  private readonly clock = new MonotonicClock()
  private readonly scheduler = new Scheduler(WIDE_LIMITS)
  readonly servers: BackendServer[] = []
  private port = 0
  private ingress: Ingress | undefined
  readonly bufferBudget = new BufferBudget(BUFFER_BYTES)

  static async start (
    currentDeployment: Deployment, ...scripts: Script[]
  ): Promise<{ rig: Rig, servers: ScriptedServer[] }> {
    const rig = new Rig()
    const servers: ScriptedServer[] = []
    for (const script of scripts) servers.push(await rig.addServer(script))
    await rig.listen(currentDeployment)
    return { rig, servers }
  }

  async addServer (script: Script, isRequest?: (text: string) => boolean): Promise<ScriptedServer> {
    const scriptedServer = await ScriptedServer.start(script, 0, isRequest)
    this.lifecycle.onClose('server', () => scriptedServer.close())
    const id = `server-${this.servers.length}`
    const server = {
      id, born: 1, service: 's', address: scriptedServer.address, dataCentre: 'd', version: 'v1', slots: 4, isDraining: false, coldMs: 0
    }
    this.servers.push(server)
    this.fleet.apply({ id, revision: 1, server }, this.clock.now())
    this.scheduler.setServers(this.servers, 0)
    return scriptedServer
  }

  /** Marks a server as draining in the fleet of the host, but not in its scheduler. */
  drain (index: number): void {
    const server = { ...this.servers[index]!, isDraining: true }
    this.fleet.apply({ id: server.id, revision: 2, server }, this.clock.now())
  }

  /** Removes the entry of a server that is gone. */
  remove (index: number): void {
    const { id } = this.servers[index]!
    this.fleet.apply({ id, revision: 3, server: undefined }, this.clock.now())
    this.scheduler.setServers(this.fleet.listUsable(this.clock.now()), 0)
  }

  async listen (currentDeployment: Deployment): Promise<void> {
    const hub = new Hub(this.scheduler, new Gossip([], this.clock, () => undefined), this.clock)
    const dispatcher = new Dispatcher(this.clock, this.retryLimits)
    dispatcher.retrySlackShare = this.retrySlackShare
    dispatcher.switchScheduler(hub.connect('h', reply => dispatcher.handleReply(reply)))
    const random = new SeededRandom(1)
    const reachability = new Reachability({
      clock: this.clock,
      random,
      listAddresses: () => this.servers.map(({ address }) => address),
      probe: probeConnection,
      onChange: () => undefined
    })
    const connectionPool = new ConnectionPool(this.log.logger, () => reachability.recordConnected())
    const direct = new DirectTransport(connectionPool, reachability, HEADER_NAMES.attemptId)
    connectionPool.setIdleLimits(new Map(this.servers.map(({ address }) => [address, IDLE_CONNECTIONS_PER_SERVER])))
    this.scheduler.quotas.setOrganisations(currentDeployment.organisations, this.clock.now())
    const ingress = new Ingress({
      headerNames: HEADER_NAMES,
      dataCentre: 'd',
      fleet: this.fleet,
      paths: this.paths ?? {
        choose: () => direct, chooseOther: () => Promise.resolve(undefined), tick: () => reachability.tick()
      },
      bufferBudget: this.bufferBudget,
      maxConnections: MAX_CONNECTIONS,
      dispatcher,
      clock: this.clock,
      random,
      log: this.log.logger,
      deployment: () => currentDeployment,
      isClosing: () => this.isClosing,
      isAccepting: () => this.isAccepting,
      maySend: () => true
    })
    ingress.setLimits(currentDeployment.limits)
    this.port = await ingress.listen('127.0.0.1', 0)
    this.ingress = ingress
    this.lifecycle.onClose('connection pool', () => connectionPool.close())
    this.lifecycle.onClose('ingress', () => ingress.close())
    this.lifecycle.runEvery('ticks', 10, () => {
      hub.tick()
      ingress.tick(this.clock.now())
    })
  }

  /** Number of requests whose response is not finished. */
  get activeRequestCount (): number {
    return this.ingress!.activeRequestCount
  }

  /** Connects to the ingress as a caller. */
  async connect (): Promise<Caller> {
    const socket = connect(this.port, '127.0.0.1')
    await new Promise<void>(resolve => { socket.once('connect', resolve) })
    return new Caller(socket)
  }

  /** Sends one request on a new connection and returns everything received until the connection ends. */
  async request (head: string[], body = ''): Promise<string> {
    const caller = await this.connect()
    caller.send([...head, 'Connection: close'], body)
    return await caller.readToEnd()
  }

  close (): Promise<Error[]> {
    return this.lifecycle.close()
  }
}

/** The caller's end of a connection to the ingress. */
export class Caller {
  /** Everything received so far. */
  text = ''
  hasEnded = false
  private notify = (): void => undefined

  constructor (readonly socket: Socket) {
    socket.on('data', bytes => {
      this.text += bytes.toString('latin1')
      this.notify()
    })
    const recordEnd = (): void => {
      this.hasEnded = true
      this.notify()
    }
    socket.on('end', recordEnd)
    socket.on('close', recordEnd)
    socket.on('error', () => undefined)
  }

  send (head: string[], body = ''): void {
    const length = body === '' ? [] : [`Content-Length: ${body.length}`]
    this.socket.write([head[0]!, 'Host: a.example', ...length, ...head.slice(1), '', body].join('\r\n'))
  }

  /** Waits until the received text includes a part or the connection ends. */
  async waitFor (part: string): Promise<void> {
    while (!this.text.includes(part) && !this.hasEnded) await new Promise<void>(resolve => { this.notify = resolve })
  }

  async readToEnd (): Promise<string> {
    while (!this.hasEnded) await new Promise<void>(resolve => { this.notify = resolve })
    return this.text
  }
}
