import type { Clock, Random } from '../base/index.js'
import type { Configuration } from '../config/index.js'
import type { MembershipView } from '../member/index.js'
import type { KeyCoordinators } from '../owner/index.js'
import type { EngineRequest } from './enginerequest.js'
import type { Owners } from './owners.js'

/** The dependencies that all deliveries of a host share. */
export interface DeliveryContext {
  /** Returns this member's id. */
  readonly self: () => string
  readonly clock: Clock
  readonly random: Random
  readonly owners: Owners
  /** Access to the coordinators of idempotency keys. */
  readonly keyCoordinators: KeyCoordinators
  /** Returns the current membership view. */
  readonly view: () => MembershipView
  /** Returns the current configuration. */
  readonly configuration: () => Configuration
  /** Returns whether a request, identified by the hash of its body, crashed several servers. */
  readonly isPoison: (fingerprint: string, now: number) => boolean
}

/** A request to be delivered to an engine. */
export interface DeliveryRequest {
  readonly requestId: string
  readonly key: string
  /** Whether this host generated the key, so that no other host can receive a request with it. */
  readonly hasGeneratedKey: boolean
  readonly engineRequest: EngineRequest
  /** When the request arrived, in milliseconds since the epoch. */
  readonly arrivedAt: number
  /** Is aborted when the caller disconnects. */
  readonly signal: AbortSignal
}
