import { createServer, connect, type Socket, type AddressInfo, type Server } from 'node:net'
import { createLogger } from 'bunyan'
import { Lifecycle, SeededRandom, SteadyClock } from '../src/base/index.js'
import { Dispatcher, Gossip, Hub } from '../src/dispatch/index.js'
import { type BackendServer, Fleet } from '../src/fleet/index.js'
import { ConnectionPool, type HeaderNames, Ingress } from '../src/forward/index.js'
import { Deployment, type DeploymentParts, RetrySafety, type Route, QuotaUnit } from '../src/routing/index.js'
import { Scheduler } from '../src/schedule/index.js'

/** Header names of the tests; an adapter brings its own. */
export const NAMES: HeaderNames = {
  attemptId: 'x-attempt',
  deadline: 'x-deadline',
  key: 'x-key',
  organisation: 'x-organisation',
  serverId: 'x-server',
  notRun: 'x-not-run',
  lastEventId: 'x-last-event',
  tokenUsage: 'x-usage',
  lengthHint: 'x-length-hint',
  reserved: ['x-reserved']
}

/** Bounds with room for everything. */
export const WIDE = {
  retries: { ratio: 1, windowMs: 10_000, slack: 1_000 },
  quotaOvershoot: { share: 0, units: 0 },
  canaryExposure: { share: 0.1, slack: 50 }
}

const KEPT_CHANNELS = 8

/** @returns a route with what is stated, the rest being usual */
export function route (stated: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'a.example',
    prefix: '/',
    retrySafety: RetrySafety.safe,
    isResumable: false,
    timeoutMs: 5_000,
    objectiveMs: 300,
    pauseMs: 200,
    rank: 0,
    maxAttempts: 2,
    isPublic: true,
    targets: [{ service: 's', weight: 1 }],
    ...stated
  }
}

/** @returns a deployment with what is stated, the rest being usual */
export function deployment (stated: Partial<DeploymentParts> = {}): Deployment {
  return new Deployment({
    revision: 1,
    routes: [route()],
    services: [{ name: 's', maxConnections: 100, kvCacheTokens: undefined, slots: undefined, tokensPerEvent: 1 }],
    organisations: [],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1 << 20, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 },
    ...stated
  })
}

/** @returns an organisation with one key of its own name */
export function organisation (name: string, rank?: number): DeploymentParts['organisations'][number] {
  return { name, apiKeys: [`key-of-${name}`], rank, unit: QuotaUnit.requests, defaultTokens: 1, ratePerS: 0, burst: 0 }
}

/** What a scripted server does with one request: given its text, its number from 0, and the connection. */
export type Script = (request: string, number: number, socket: Socket) => void

/** A server of raw bytes that follows a script. */
export class ScriptedServer {
  /** The requests as they came. */
  readonly requests: string[] = []
  connections = 0
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server, readonly address: string) {}

  static async start (script: Script): Promise<ScriptedServer> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const started = new ScriptedServer(server, `127.0.0.1:${(server.address() as AddressInfo).port}`)
    server.on('connection', socket => {
      started.connections++
      started.sockets.add(socket)
      socket.on('error', () => undefined)
      let text = ''
      socket.on('data', bytes => {
        text += bytes.toString('latin1')
        if (!isWholeRequest(text)) return
        started.requests.push(text)
        const request = text
        text = ''
        script(request, started.requests.length - 1, socket)
      })
    })
    return started
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}

function isWholeRequest (text: string): boolean {
  const end = text.indexOf('\r\n\r\n')
  if (end === -1) return false
  const length = Number(/\r\ncontent-length: *(\d+)/i.exec(text)?.[1] ?? 0)
  return text.length >= end + 4 + length
}

/** Answers with a length. */
export function answer (socket: Socket, status: string, body: string, headers: string[] = []): void {
  const lines = [`HTTP/1.1 ${status}`, `Content-Length: ${body.length}`, ...headers, '', body]
  socket.write(lines.join('\r\n'))
}

/** An ingress with a scheduler of its own, in front of scripted servers. */
export class Rig {
  readonly fleet = new Fleet()
  isClosing = false
  isTaking = true
  private readonly lifecycle = new Lifecycle()
  private readonly clock = new SteadyClock()
  private readonly scheduler = new Scheduler(WIDE)
  private readonly servers: BackendServer[] = []
  private port = 0

  static async start (current: Deployment, ...scripts: Script[]): Promise<{ rig: Rig, servers: ScriptedServer[] }> {
    const rig = new Rig()
    const servers: ScriptedServer[] = []
    for (const script of scripts) servers.push(await rig.addServer(script))
    await rig.listen(current)
    return { rig, servers }
  }

  async addServer (script: Script): Promise<ScriptedServer> {
    const started = await ScriptedServer.start(script)
    this.lifecycle.own('server', () => started.close())
    const id = `server-${this.servers.length}`
    const server = {
      id, born: 1, service: 's', address: started.address, dataCentre: 'd', version: 'v1', slots: 4, isDraining: false, coldMs: 0
    }
    this.servers.push(server)
    this.fleet.apply({ id, revision: 1, server }, this.clock.now())
    this.scheduler.setServers(this.servers)
    return started
  }

  /** Tells the host, but not its scheduler, that a server leaves. */
  drain (number: number): void {
    const server = { ...this.servers[number]!, isDraining: true }
    this.fleet.apply({ id: server.id, revision: 2, server }, this.clock.now())
  }

  async listen (current: Deployment): Promise<void> {
    const hub = new Hub(this.scheduler, new Gossip([], this.clock, () => undefined), this.clock)
    const dispatcher = new Dispatcher(this.clock, WIDE.retries)
    dispatcher.switchScheduler(hub.connect('h', reply => dispatcher.handleReply(reply)))
    const channels = new ConnectionPool()
    channels.setIdleLimits(new Map(this.servers.map(({ address }) => [address, KEPT_CHANNELS])))
    this.scheduler.setOrganisations(current.organisations, this.clock.now())
    const ingress = new Ingress({
      headerNames: NAMES,
      dataCentre: 'd',
      fleet: this.fleet,
      connectionPool: channels,
      dispatcher,
      clock: this.clock,
      random: new SeededRandom(1),
      log: createLogger({ name: 'test', level: 60 }),
      deployment: () => current,
      isClosing: () => this.isClosing,
      isAccepting: () => this.isTaking
    })
    ingress.setLimits(current.limits)
    this.port = await ingress.listen('127.0.0.1', 0)
    this.lifecycle.own('channels', () => channels.close())
    this.lifecycle.own('ingress', () => ingress.close())
    this.lifecycle.every('ticks', 10, () => {
      hub.tick()
      ingress.tick(this.clock.now())
    })
  }

  /** Opens a connection as a caller. */
  async connect (): Promise<Caller> {
    const socket = connect(this.port, '127.0.0.1')
    await new Promise<void>(resolve => { socket.once('connect', resolve) })
    return new Caller(socket)
  }

  /** Sends one request on a connection of its own and reads until the connection ends. */
  async ask (head: string[], body = ''): Promise<string> {
    const caller = await this.connect()
    caller.send([...head, 'Connection: close'], body)
    return await caller.readToEnd()
  }

  close (): Promise<Error[]> {
    return this.lifecycle.close()
  }
}

/** A caller's side of a connection. */
export class Caller {
  text = ''
  hasEnded = false
  private wake = (): void => undefined

  constructor (readonly socket: Socket) {
    socket.on('data', bytes => {
      this.text += bytes.toString('latin1')
      this.wake()
    })
    const end = (): void => {
      this.hasEnded = true
      this.wake()
    }
    socket.on('end', end)
    socket.on('close', end)
    socket.on('error', () => undefined)
  }

  send (head: string[], body = ''): void {
    const length = body === '' ? [] : [`Content-Length: ${body.length}`]
    this.socket.write([head[0]!, 'Host: a.example', ...length, ...head.slice(1), '', body].join('\r\n'))
  }

  /** Waits until what was received holds a text. */
  async until (wanted: string): Promise<void> {
    while (!this.text.includes(wanted) && !this.hasEnded) await new Promise<void>(resolve => { this.wake = resolve })
  }

  async readToEnd (): Promise<string> {
    while (!this.hasEnded) await new Promise<void>(resolve => { this.wake = resolve })
    return this.text
  }
}
