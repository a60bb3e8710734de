import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { RowsStandin } from '../standins/rows.js'
import {
  type HostProcess, isReady, killHostProcess, startHostProcess, type ProcessLimits, stopHostProcess, waitFor
} from './hostprocess.js'
import { respond, type Script, ScriptedServer } from './scriptedserver.js'

const SERVERS = 3

/** Time until a server that was killed starts again, in milliseconds. */
const SERVER_RESTART_MS = 300

/** Longest body of a request, in bytes. */
const MAX_BODY_BYTES = 10_000

/** Name of the one service. */
const SERVICE = 's'

export async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Header lines of a server's response to a request, given its raw text. */
export function answerHeaders (text: string): string[] {
  const id = /attempt-id: (\w+)/i.exec(text)?.[1] ?? ''
  return [`Attempt-Id: ${id}`, 'Response-Signature: s']
}

/** A server that answers each request after a short time. */
export const answer: Script = (text, _, socket) => {
  setTimeout(() => respond(socket, '200 OK', 'ok', answerHeaders(text)), 20)
}

/** A route of a configuration. */
export interface RouteRow {
  readonly prefix: string
  /** Its retry safety as the platform names it. */
  readonly kind: string
  /** Whether a stream may be resumed; so if left out. */
  readonly isResumable?: boolean
  readonly timeoutMs?: number
  readonly service?: string
}

/** What differs from the default. */
export interface FleetOptions {
  /** Path of the bundled program; that of this build if left out. */
  readonly program?: string
  readonly serverCount?: number
  /** Limits of the host processes, which are then started with the options of the deployed program. */
  readonly limits?: ProcessLimits
  /** Longest body of a request, in bytes. */
  readonly maxBodyBytes?: number
  /** Whether the text that a server received is a request that it handles; whether it is complete if left out. */
  readonly isRequest?: (text: string) => boolean
}

/** Processes of severable hosts before scripted servers of one service, with a store. */
export class HostFleet {
  private readonly directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
  readonly hosts: HostProcess[] = []
  readonly servers: ScriptedServer[] = []
  /** Statuses of all requests by the ids of their attempts; 0 for those without one. */
  readonly statuses = new Map<string, number>()
  private lastAttempt = 0

  private constructor (
    readonly store: RowsStandin, private readonly firstPort: number, private readonly options: FleetOptions
  ) {}

  /**
   * @param hostCount - number of hosts
   * @param firstPort - first port of the first host; fixed, since the settings name every port, as on the platform
   * @param script - what the servers do
   * @param kinds - retry safety of the routes as the platform names it; each is the prefix of its route
   * @param options - what differs from the default
   */
  static async start (
    hostCount: number, firstPort: number, script: Script, kinds: readonly string[], options: FleetOptions = {}
  ): Promise<HostFleet> {
    const { program, serverCount = SERVERS } = options
    const fleet = new HostFleet(await RowsStandin.start(), firstPort, options)
    const { servers, hosts } = fleet
    for (let index = 0; index < serverCount; index++) {
      servers.push(await ScriptedServer.start(script, 0, options.isRequest))
      fleet.putServer(index, 'ready')
    }
    fleet.putConfig(1, kinds.map(kind => ({ prefix: `/${kind}/`, kind })))
    for (let index = 0; index < hostCount; index++) hosts.push(fleet.startHost(index, true, program))
    for (const host of hosts) await waitFor(() => isReady(host))
    return fleet
  }

  /**
   * Starts a host again after its process has ended, and waits until it is ready.
   *
   * @param index - index of the host
   * @param program - path of the bundled program; that of this build if left out
   */
  async restartHost (index: number, program?: string): Promise<void> {
    const host = this.startHost(index, false, program)
    this.hosts[index] = host
    await waitFor(() => isReady(host))
  }

  /**
   * Stops a host as planned and starts it again.
   *
   * @param index - index of the host
   * @param program - path of the bundled program; that of this build if left out
   */
  async replaceHost (index: number, program?: string): Promise<void> {
    await stopHostProcess(this.hosts[index]!)
    await this.restartHost(index, program)
  }

  /** Addresses of all servers. */
  get serverAddresses (): string[] {
    return this.servers.map(({ address }) => address)
  }

  /** Writes the entry of a server. */
  putServer (index: number, state: string, service = SERVICE, born = 1): void {
    const { address } = this.servers[index]!
    this.store.put('servers', `i-${index}`, {
      service, address, zone: 'z', version: 'v1', slots: 8, state, born
    })
  }

  /**
   * Ends a server as the system does when its process is killed: its port is closed, and its connections end in the
   * ordinary way. It starts again a moment later.
   */
  async killServer (index: number): Promise<void> {
    const { address, script } = this.servers[index]!
    this.servers[index]!.close()
    await sleep(SERVER_RESTART_MS)
    this.servers[index] = await ScriptedServer.start(script, Number(address.split(':')[1]))
  }

  /** Writes a configuration. */
  putConfig (
    version: number,
    routes: readonly RouteRow[]
  ): void {
    this.store.put('op', 'config', {
      version,
      routes: routes.map(({ prefix, kind, isResumable = kind === 'streaming', timeoutMs = 1_500, service = SERVICE }) => ({
        name: prefix,
        host: 'a.example',
        prefix,
        kind,
        timeout_ms: timeoutMs,
        target_latency_ms: 300,
        service,
        max_attempts: 2,
        resumable: isResumable,
        public: true
      })),
      services: [...new Set([SERVICE, ...routes.map(({ service = SERVICE }) => service)])]
        .map(name => ({ name, max_connections: 100 })),
      tenants: [],
      limits: {
        max_header_bytes: 16384,
        max_body_bytes: this.options.maxBodyBytes ?? MAX_BODY_BYTES,
        header_timeout_ms: 3000,
        idle_timeout_ms: 5000
      }
    })
  }

  /** Sends requests to a host at a steady rate; returns their statuses, 0 for those without one. */
  async callAtRate (host: HostProcess, prefix: string, count: number, intervalMs: number): Promise<number[]> {
    const statuses: Array<Promise<number>> = []
    for (let i = 0; i < count; i++) {
      statuses.push(this.call(host, prefix))
      await sleep(intervalMs)
    }
    return await Promise.all(statuses)
  }

  /** Sends requests to all hosts at a steady rate; returns their statuses by host. */
  callAll (prefix: string, count: number, intervalMs: number): Promise<number[][]> {
    return Promise.all(this.hosts.map(host => this.callAtRate(host, prefix, count, intervalMs)))
  }

  /** Index of the host that schedules, as the first host logged it last. */
  get schedulerIndex (): number {
    const chosen = this.hosts[0]!.output.match(/"scheduler":"host-(\d)"/g)!.at(-1)!
    return Number(/host-(\d)/.exec(chosen)![1])
  }

  async close (): Promise<void> {
    for (const host of this.hosts) await killHostProcess(host)
    for (const server of this.servers) server.close()
    this.store.close()
    rmSync(this.directory, { recursive: true })
  }

  private startHost (index: number, isFirstStart: boolean, program?: string): HostProcess {
    const { directory, firstPort, store } = this
    return startHostProcess({
      directory,
      index,
      firstPort,
      storeAddress: store.address,
      budgetSlack: 50,
      isFirstStart,
      ...this.options.limits === undefined ? { isSeverable: true } : { limits: this.options.limits },
      ...(program === undefined ? {} : { program })
    })
  }

  private async call (host: HostProcess, prefix: string): Promise<number> {
    const id = `a${++this.lastAttempt}`
    const status = await requestStatus(`http://${host.callerAddress}${prefix}1`, id)
    this.statuses.set(id, status)
    return status
  }
}

async function requestStatus (url: string, id: string): Promise<number> {
  try {
    const { statusCode, body } = await request(url, {
      headers: { host: 'a.example', 'attempt-id': id, 'deadline-ms': '1500' }
    })
    await body.dump()
    return statusCode
  } catch {
    return 0
  }
}
