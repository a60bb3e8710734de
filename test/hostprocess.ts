import { type ChildProcess, spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { expect } from 'earl'
import { request } from 'undici'

/** Ports of one host: callers, readiness and three for links to other hosts. */
const PORTS_PER_HOST = 10

/** A process of the bundled program. */
export interface HostProcess {
  readonly process: ChildProcess
  readonly callerAddress: string
  readonly readinessAddress: string
  /** Addresses for links of other hosts. */
  readonly linkAddresses: readonly string[]
  output: string
}

/** What the platform states that a process may use. */
export interface ProcessLimits {
  readonly memoryMb: number
  readonly maxFds: number
}

/** @returns the options of node that the deployed program is started with */
export function deployedOptions (): string[] {
  const command = /^run = "node (.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1] ?? ''
  return command.split(' ').filter(word => word.startsWith('--'))
}

/** Values that the settings file of a host is written from. */
export interface HostProcessSpec {
  /** Directory of the settings file. */
  readonly directory: string
  readonly index: number
  /** First port of the host with index 0. Fixed, since the settings name every port, as on the platform. */
  readonly firstPort: number
  readonly storeAddress: string
  /** Retries that the retry budget allows beyond its ratio. */
  readonly budgetSlack: number
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean
  /** Whether {@link severHost} can cut the process off from ports. */
  readonly isSeverable?: boolean
  /** Path of the bundled program; that of this build if left out. */
  readonly program?: string
  /** Limits, with which the process is started as deployed; none are stated if left out. */
  readonly limits?: ProcessLimits
}

/**
 * Starts the bundled program as the platform does, with a settings file in the platform's format.
 *
 * @param spec - values of the settings
 * @returns the process, which is not ready yet
 */
export function startHostProcess (spec: HostProcessSpec): HostProcess {
  const { directory, index, storeAddress } = spec
  const port = spec.firstPort + PORTS_PER_HOST * index
  const settings = join(directory, `host-${index}.toml`)
  writeFileSync(settings, [
    `node = "host-${index}"`, 'ip = "127.0.0.1"', 'zone = "z"', 'region = "r"', `bootstrap = ${spec.isFirstStart}`,
    'unknown_field = 1', `internal_port_range = [${port + 3},${port + 5}]`,
    '[listen]', `front = "127.0.0.1:${port}"`, `readiness = "127.0.0.1:${port + 1}"`,
    '[bounds]', 'grace_s = 5', 'retry_budget_ratio = 0.2', 'retry_window_s = 10', `budget_slack = ${spec.budgetSlack}`,
    'quota_overshoot = 0.1', 'quota_slack = 1000', 'exposure_share = 0.1', 'exposure_slack = 50',
    '[platform]', `address = "${storeAddress}"`,
    ...spec.limits === undefined
      ? []
      : ['[limits]', 'cpu_share = 1.0', `memory_mb = ${spec.limits.memoryMb}`, `max_fds = ${spec.limits.maxFds}`]
  ].join('\n'))
  const env = { ...process.env, MARIGOLDVALVE_CONFIG: settings, SEVERABLE_IP: `127.0.0.${index + 2}` }
  const { isSeverable = false, program = 'target/marigoldvalve.cjs' } = spec
  const preload = isSeverable ? ['--require', './test/severedsockets.cjs'] : []
  const nodeOptions = spec.limits === undefined ? [] : deployedOptions()
  const child = spawn(process.execPath, [...preload, ...nodeOptions, program], {
    env, stdio: isSeverable ? ['ignore', 'pipe', 'pipe', 'ipc'] : ['ignore', 'pipe', 'pipe']
  })
  const host = {
    process: child,
    callerAddress: `127.0.0.1:${port}`,
    readinessAddress: `127.0.0.1:${port + 1}`,
    linkAddresses: [3, 4, 5].map(offset => `127.0.0.1:${port + offset}`),
    output: ''
  }
  child.stdout!.on('data', bytes => { host.output += String(bytes) })
  child.stderr!.on('data', bytes => { host.output += String(bytes) })
  return host
}

/**
 * Kills a process, unless it has ended already, and waits until it has ended.
 *
 * @param host - the process
 */
export async function killHostProcess (host: HostProcess): Promise<void> {
  if (host.process.exitCode !== null || host.process.signalCode !== null) return
  const ended = new Promise(resolve => host.process.once('exit', resolve))
  host.process.kill('SIGKILL')
  await ended
}

/**
 * Stops a process as planned, and waits until it has ended.
 *
 * @param host - the process
 */
export async function stopHostProcess (host: HostProcess): Promise<void> {
  const ended = new Promise(resolve => host.process.once('exit', resolve))
  host.process.kill('SIGTERM')
  await ended
}

/** How a host that is cut off loses its connections. */
export const Cut = {
  /** Bytes are lost and new connections are never established. */
  silent: 'silent',
  /** Open connections are reset and new ones refused. */
  reset: 'reset',
  /** Open connections live on, and new ones are refused. */
  refuse: 'refuse',
  /** Bytes of open connections are lost, and new connections work. */
  stall: 'stall'
} as const

/** One of the values of {@link Cut}. */
export type Cut = typeof Cut[keyof typeof Cut]

/**
 * Cuts a host off from addresses, or ends the cut.
 *
 * @param host - a severable process
 * @param addresses - IP addresses and ports
 * @param cut - how its connections are lost; undefined ends the cut
 */
export async function severHost (host: HostProcess, addresses: readonly string[], cut: Cut | undefined): Promise<void> {
  const done = new Promise(resolve => host.process.once('message', resolve))
  host.process.send({ mode: cut, ports: addresses.map(address => Number(address.split(':')[1])) })
  await done
}

/** @returns whether the host reports that it is ready */
export async function isReady (host: HostProcess): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`http://${host.readinessAddress}/marigoldvalve/readyz`)
    await body.dump()
    return statusCode === 200
  } catch {
    return false
  }
}

/** Waits until a condition holds; fails after 12 s. */
export async function waitFor (condition: () => Promise<boolean> | boolean): Promise<void> {
  for (let i = 0; i < 600; i++) {
    if (await condition()) return
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  expect(await condition()).toEqual(true)
}
