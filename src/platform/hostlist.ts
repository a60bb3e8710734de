import type { ResultAsync } from 'neverthrow'
import type { PlatformFailure } from './failure.js'

/** A host as the platform lists it. The list lags. */
export interface ListedHost {
  readonly host: string
  readonly leaving: boolean
}

/** The platform's list of live and leaving hosts. */
export interface HostList {
  /** @returns the hosts as the platform knows them */
  list (): ResultAsync<ListedHost[], PlatformFailure>
}
