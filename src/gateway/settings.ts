import type { ScheduleLimits } from '../schedule/index.js'

/** An IP number and a port. */
export interface Endpoint {
  readonly ip: string
  readonly port: number
}

/** What a gateway process is told at its start. */
export interface GatewaySettings {
  /** Name of this host; unique in the deployment. */
  readonly host: string
  readonly dataCentre: string
  /** How many processor cores this host may use. */
  readonly cores: number
  /** Where callers connect. */
  readonly callers: Endpoint
  /** Where the balancer asks whether this host takes new connections. */
  readonly readiness: Endpoint
  /** Where other hosts link to the scheduler of this one. */
  readonly links: Endpoint
  /** Time between a request to stop and the end by force, in milliseconds. */
  readonly graceMs: number
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  readonly bounds: ScheduleLimits
}
