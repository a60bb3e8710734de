import type { Organisation, Route } from '../routing/index.js'
import type { RawHeaders } from './headers.js'

/** One attempt of a caller, read whole and matched to its route. */
export interface CallerRequest {
  /** The attempt's id, if the caller sent one. */
  readonly attempt: string | undefined
  readonly method: string
  /** Path and query, as they came. */
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Buffer
  /** Alike for requests with the same path, organisation and body. */
  readonly fingerprint: string
  readonly route: Route
  /** Who holds the key; undefined on public routes. */
  readonly organisation: Organisation | undefined
  readonly promptTokens: number
  /** Tokens that the answer is expected to have. */
  readonly expectedTokens: number
  /** What it counts against the allowance. */
  readonly units: number
  /** The last event that the caller has, if it resumes a stream. */
  readonly lastEvent: number | undefined
  /** Steady time at which it arrived, in milliseconds. */
  readonly arrivedAt: number
  /** Steady time at which its latency objective passes, in milliseconds. */
  readonly lateAt: number
  /** Steady time by which its final answer is due, in milliseconds. */
  readonly deadlineAt: number
}
