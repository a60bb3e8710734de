import type { TraceRequest } from './trace.js'

/** How a request of a trace ended. */
export const RequestStatus = {
  answered: 'answered',
  refused: 'refused',
  /** Preempted on its engine by work of a higher tier. */
  preempted: 'yielded',
  /** The engine crashed, or was down when the request was sent to it. */
  lost: 'lost',
  /** Not ended yet; a request that is still open at the end of the run counts as lost. */
  open: 'open'
} as const

/** One of the values of {@link RequestStatus}. */
export type RequestStatus = typeof RequestStatus[keyof typeof RequestStatus]

/** Progress of one request during a run. Times are virtual, in milliseconds. */
export class RequestRecord {
  status: RequestStatus = RequestStatus.open
  /** When the first token was produced; -1 before. */
  firstTokenAt = -1
  /** When the most recent token was produced; -1 before the first. */
  lastTokenAt = -1
  /** When the request ended; -1 before. */
  endedAt = -1
  /** Number of tokens produced so far. */
  outputTokens = 0
  /** Time between the first and the most recent token, in milliseconds. */
  private totalGapMs = 0
  /** Whether the request was refused although work of a lower tier could have been preempted. */
  isRefusedUnfairly = false

  /** @param request - the request that is recorded */
  constructor (readonly request: TraceRequest) {}

  /** @param now - virtual time at which a token was produced, in milliseconds */
  recordToken (now: number): void {
    if (this.firstTokenAt < 0) this.firstTokenAt = now
    else this.totalGapMs += now - this.lastTokenAt
    this.lastTokenAt = now
    this.outputTokens++
  }

  /**
   * Records the end of the request. Only the first call has an effect.
   *
   * @param status - how the request ended
   * @param now - virtual time of the end, in milliseconds
   */
  finish (status: RequestStatus, now: number): void {
    if (this.status !== RequestStatus.open) return
    this.status = status
    this.endedAt = now
  }

  /** Mean time between tokens, in milliseconds; 0 with fewer than two tokens. */
  get meanGapMs (): number {
    return this.outputTokens < 2 ? 0 : this.totalGapMs / (this.outputTokens - 1)
  }

  /** Time from arrival to the first token, in milliseconds; only valid once there is one. */
  get timeToFirstTokenMs (): number {
    return this.firstTokenAt - this.request.arrivedAt
  }

  /** Whether the answer is complete and met the targets for its first and its last token. */
  get meetsTargets (): boolean {
    const { requestClass, arrivedAt } = this.request
    return this.status === RequestStatus.answered && this.timeToFirstTokenMs <= requestClass.startWithinMs &&
      this.endedAt - arrivedAt <= requestClass.finishWithinMs
  }
}

/** Metrics of a set of requests, such as one tier. Written to the JSON output under these names. */
export interface RequestMetrics {
  /** Number of requests. */
  readonly sent: number
  /** Share of requests answered within both targets, from 0 to 1; 1 if there were none. */
  readonly good: number
  readonly refused: number
  /** Number of requests preempted by work of a higher tier. */
  readonly yielded: number
  /** Number of requests answered in full that missed a target. */
  readonly late: number
  /** Number of requests lost with their engine or still open at the end of the run. */
  readonly lost: number
  /** Median time to the first token, in milliseconds. */
  readonly firstP50: number
  readonly firstP95: number
  readonly firstP99: number
  /** 95th percentile over the requests of the mean time between tokens, in milliseconds. */
  readonly gapP95: number
  /** Number of requests refused although work of a lower tier could have been preempted. */
  readonly unfair: number
  /** Prompt and output tokens processed for requests that were not answered within both targets. */
  readonly wasted: number
}

function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/**
 * Computes the metrics of a set of requests at the end of a run.
 *
 * @param records - records of the requests
 * @returns their metrics
 */
export function computeMetrics (records: readonly RequestRecord[]): RequestMetrics {
  const started = records.filter(record => record.firstTokenAt >= 0)
  const count = (status: RequestStatus): number => records.filter(record => record.status === status).length
  const firstTokenTimesMs = started.map(record => record.timeToFirstTokenMs)
  return {
    sent: records.length,
    good: records.length === 0 ? 1 : records.filter(record => record.meetsTargets).length / records.length,
    refused: count(RequestStatus.refused),
    yielded: count(RequestStatus.preempted),
    late: records.filter(record => record.status === RequestStatus.answered && !record.meetsTargets).length,
    lost: count(RequestStatus.lost) + count(RequestStatus.open),
    firstP50: quantile(firstTokenTimesMs, 0.5),
    firstP95: quantile(firstTokenTimesMs, 0.95),
    firstP99: quantile(firstTokenTimesMs, 0.99),
    gapP95: quantile(started.filter(record => record.outputTokens > 1).map(record => record.meanGapMs), 0.95),
    unfair: records.filter(record => record.isRefusedUnfairly).length,
    wasted: started.filter(record => !record.meetsTargets)
      .reduce((sum, record) => sum + record.outputTokens + record.request.promptTokens, 0)
  }
}
