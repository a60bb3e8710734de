import type { Organisation, Route } from '../routing/index.js'
import type { RawHeaders } from './headers.js'

/** One attempt of a caller, received completely and matched to its route. */
export interface CallerRequest {
  /** Id of the attempt, if the caller sent one. */
  readonly attemptId: string | undefined
  readonly method: string
  /** Path and query, as received. */
  readonly target: string
  readonly headers: RawHeaders
  readonly body: Buffer
  /** Hash that is equal for requests with the same method, path, organisation and body. */
  readonly fingerprint: string
  readonly route: Route
  /** The organisation that the caller's key belongs to; undefined if no key is required. */
  readonly organisation: Organisation | undefined
  readonly promptTokens: number
  /** Ids of the parts of the prompt that other requests may share. */
  readonly sharedPromptParts: readonly string[]
  /** Estimated number of tokens in the response. */
  readonly expectedTokens: number
  /** Units of quota that the request uses. */
  readonly units: number
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: number | undefined
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number
  /** Monotonic time at which the latency objective passes, counted from the first attempt if known, in milliseconds. */
  readonly objectiveAt: number
  /** Monotonic time by which the final response is due, in milliseconds. */
  readonly deadlineAt: number
}
