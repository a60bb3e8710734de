import type { WorkClass } from '../config/index.js'

/** The properties of a request that decide which server gets it and when. */
export interface Demand {
  readonly organisation: string
  readonly workClass: WorkClass
  /** Number of prompt tokens, including those that a server may have cached. */
  readonly promptTokens: number
  /** Hash of the part of the prompt that other requests may share; empty for none. */
  readonly prefix: string
  /** Length of the shared part of the prompt, in tokens. */
  readonly prefixTokens: number
  /** Maximum number of output tokens that the request allows. */
  readonly outputLimit: number
}

/** A request as an entry host submits it to an owner. */
export interface Submission extends Demand {
  readonly requestId: string
  /** The idempotency key. */
  readonly key: string
  /** Hash of the request text. Requests with the same key but another fingerprint are rejected. */
  readonly fingerprint: string
  /** Number of the attempt, assigned by the key coordinator when it opened the attempt. */
  readonly attempt: number
  /** The request as JSON. */
  readonly body: string
  /** Time at which the request arrived, in milliseconds since the epoch. */
  readonly arrived: number
  /** Whether the caller chose the idempotency key and so may retry the request. */
  readonly resendable: boolean
}
