import type { WorkClass } from '../config/index.js'

/** What decides how a request is placed. */
export interface Demand {
  readonly organisation: string
  readonly workClass: WorkClass
  /** Prompt tokens, cached or not. */
  readonly promptTokens: number
  /** Hash of the part of the prompt that other requests may share; empty for none. */
  readonly prefix: string
  readonly prefixTokens: number
  /** Most output tokens that the request allows. */
  readonly outputLimit: number
}

/** A request as an entry gives it to an owner. */
export interface Submission extends Demand {
  readonly requestId: string
  readonly key: string
  readonly fingerprint: string
  readonly attempt: number
  /** The request as JSON. */
  readonly body: string
  /** When it arrived, in milliseconds since the epoch. */
  readonly arrived: number
  /** Whether the caller chose the key and may send again. */
  readonly resendable: boolean
}
