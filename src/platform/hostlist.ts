import type { ResultAsync } from 'neverthrow'
import type { PlatformFailure } from './failure.js'

/** An entry of the host list. It may be out of date. */
export interface ListedHost {
  readonly host: string
  /** Whether the platform is removing the host. */
  readonly leaving: boolean
}

/** The platform's list of hosts, both those in service and those being removed. */
export interface HostList {
  /** @returns the hosts that the platform lists now, or an `outage` */
  list (): ResultAsync<ListedHost[], PlatformFailure>
}
