import type { Clock, Random } from '../base/index.js'
import type { Configuration } from '../config/index.js'
import type { View } from '../member/index.js'
import type { Homes } from '../owner/index.js'
import type { Draft } from './enginerequest.js'
import type { Owners } from './owners.js'

/** What deliveries of one host share. */
export interface Desk {
  /** This member's id. */
  readonly self: () => string
  readonly clock: Clock
  readonly random: Random
  readonly owners: Owners
  readonly homes: Homes
  readonly view: () => View
  readonly configuration: () => Configuration
  /** Whether a request, by the hash of its body, crashed several servers. */
  readonly isConvicted: (fingerprint: string, now: number) => boolean
}

/** A request that is to be answered. */
export interface Order {
  readonly requestId: string
  readonly key: string
  /** Whether this host made the key, so that nobody else can send it. */
  readonly isMinted: boolean
  readonly draft: Draft
  /** When it arrived, in milliseconds since the epoch. */
  readonly arrived: number
  /** Tells that the caller went away. */
  readonly signal: AbortSignal
}
