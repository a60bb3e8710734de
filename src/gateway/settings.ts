import type { Endpoint } from '../base/index.js'
import type { ScheduleLimits } from '../schedule/index.js'

/** Settings that a gateway process is started with. */
export interface GatewaySettings {
  /** Name of this host; unique in the deployment. */
  readonly host: string
  readonly dataCentre: string
  /** Names of all data centres; empty if the platform does not list them. */
  readonly dataCentres: readonly string[]
  /** Processor cores that this host may use. */
  readonly cores: number
  /** Memory that this process may use, in bytes. */
  readonly memoryBytes: number
  /** Descriptors that this process may use. */
  readonly maxDescriptors: number
  /** Address for callers' connections. */
  readonly callers: Endpoint
  /** Address of the load balancer's check whether this host accepts new connections. */
  readonly readiness: Endpoint
  /** Address for links of other hosts to the scheduler of this one. */
  readonly links: Endpoint
  /** Time between a request to stop the process and its forced end, in milliseconds. */
  readonly graceMs: number
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  /** Limits on the scheduler's decisions. */
  readonly limits: ScheduleLimits
}
