import type { VirtualClock } from './clock.js'
import type { SimulatedEngine } from './engine.js'
import type { TraceRequest } from './trace.js'
import { RequestStatus, type RequestRecord } from './result.js'

/** The clock and the engines of one run. */
export interface Simulation {
  readonly clock: VirtualClock
  readonly engines: readonly SimulatedEngine[]
}

/** A scheduling policy: decides which engine runs each request and when. */
export interface Policy {
  readonly name: string
  /**
   * Accepts a request at its time of arrival, to run it now or later or to refuse it.
   *
   * @param request - a request of the trace
   * @param record - updated with the progress of the request
   */
  submit (request: TraceRequest, record: RequestRecord): void
}

/**
 * Runs a request on an engine and updates its record with the tokens and the end of the answer.
 *
 * @param clock - virtual time of the run
 * @param engine - the engine that runs the request
 * @param record - the request's record
 * @param onEnd - called after the answer is complete or lost; not called after a cancellation
 * @returns a function that cancels the request on the engine
 */
export function runOnEngine (
  clock: VirtualClock, engine: SimulatedEngine, record: RequestRecord, onEnd: () => void
): () => void {
  return engine.start(record.request.promptTokens, record.request.outputTokens, {
    onToken: () => record.recordToken(clock.now),
    onDone: () => {
      record.finish(RequestStatus.answered, clock.now)
      onEnd()
    },
    onLost: () => {
      record.finish(RequestStatus.lost, clock.now)
      onEnd()
    }
  })
}
