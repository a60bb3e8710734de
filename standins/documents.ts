import { join } from 'node:path'
import { digest } from '../src/base/index.js'

/** Name, location and speed of an engine of a deployment. */
export interface EngineSpec {
  readonly name: string
  readonly models: readonly string[]
  readonly dataCentre: string
  /** Number of sequences decoded at once. */
  readonly maxBatchSize: number
  /** Duration of a decoding step with one sequence, in milliseconds. */
  readonly stepMs: number
  /** Time that each further sequence adds to a step, in milliseconds. */
  readonly stepPerSequenceMs: number
  /** Prefill speed, in prompt tokens per millisecond. */
  readonly prefillTokensPerMs: number
}

/** Composition of a deployment. */
export interface DeploymentSpec {
  /** Number of hosts. */
  readonly hosts: number
  readonly engines: readonly EngineSpec[]
  /** Number of workers of the plain service "registry". */
  readonly workers: number
  readonly organisations: readonly string[]
  /** Classes and other parts of the configuration, in TOML. */
  readonly classes: string
  /** Additional settings of each host, in TOML; `limits` and `log` only. */
  readonly settings?: string
  /** Whether network partitions can be simulated; each host then listens for peers on its own loopback address. */
  readonly supportsPartitions?: boolean
}

/** A running stand-in that the configuration lists as a backend server. */
interface ListeningStandin {
  readonly name: string
  readonly port: number
}

/** Values that the settings of one host are rendered from. */
export interface HostSpec {
  readonly name: string
  readonly dataCentre: string
  /** Directory with peer.key and platform.key. */
  readonly directory: string
  /** Base URL of the platform. */
  readonly platformUrl: string
  /** Additional settings, in TOML. */
  readonly extraSettings: string | undefined
  /** IP address on which the host listens for its peers. */
  readonly peerIp: string
  /** Port announced to peers, if it differs from the one listened on. */
  readonly announcedPort: number | undefined
}

/** Peer port of hosts with their own IP address; varies by process, so that concurrent test runs rarely collide. */
export const PEER_PORT = 20_000 + process.pid % 10_000

/** Returns the API key of an organisation's callers. */
export function apiKeyOf (organisation: string): string {
  return `key-of-${organisation}`
}

/**
 * Renders the settings file of a host.
 *
 * @param host - values to insert
 * @returns the settings, in TOML
 */
export function renderSettings (host: HostSpec): string {
  return `
host = "${host.name}"
data_centre = "${host.dataCentre}"

[listen]
ip = "127.0.0.1"
port = 0

[peer]
ip = "${host.peerIp}"
port = ${host.announcedPort === undefined ? 0 : PEER_PORT}
key_file = "${join(host.directory, 'peer.key')}"
${host.announcedPort === undefined ? '' : `announce = { ip = "127.0.0.1", port = ${host.announcedPort} }`}

[platform]
table = "${host.platformUrl}"
objects = "${host.platformUrl}"
hosts = "${host.platformUrl}/hosts"
access_key = "AK"
secret_key_file = "${join(host.directory, 'platform.key')}"
timeout = "1s"

${host.extraSettings ?? ''}`
}

/**
 * Renders the configuration of a deployment.
 *
 * @param spec - composition of the deployment
 * @param engines - the running engines, in the order of the spec
 * @param workers - the running service workers
 * @returns the configuration, in TOML
 */
export function renderConfiguration (
  spec: DeploymentSpec, engines: readonly ListeningStandin[], workers: readonly ListeningStandin[]
): string {
  const organisations = spec.organisations.map(name =>
    `[organisations.${name}]\nkey_hashes = ["${digest(apiKeyOf(name))}"]\n`)
  const servers = spec.engines.map((engine, i) => `
[servers.${engine.name}]
kind = "engine"
address = "http://127.0.0.1:${engines[i]!.port}"
data_centre = "${engine.dataCentre}"
models = ${JSON.stringify(engine.models)}
`)
  const services = workers.map(worker => `
[servers.${worker.name}]
kind = "service"
service = "registry"
address = "http://127.0.0.1:${worker.port}"
data_centre = "north"
`)
  const service = `
[services.registry]
timeout = "5s"
repeatable = [{ method = "GET", path = "/status/*" }]
`
  return [spec.classes, ...organisations, service, ...servers, ...services].join('\n')
}
