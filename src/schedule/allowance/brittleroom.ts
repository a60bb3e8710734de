import { SECOND_MS } from '../../base/index.js'
import type { Brittleness } from './brittleness.js'
import { Outcome, SUCCESSES } from '../outcome.js'
import type { RequestLimit } from './requestlimit.js'
import type { RunningJob } from '../runningjob.js'

/** Time after a rejection in which a brittle server gets nothing, in milliseconds: rejections count by the second. */
const REJECTION_PAUSE_MS = SECOND_MS

/** Limits what one server gets while the servers of its service are brittle, so that it rejects little. */
export class BrittleRoom {
  private rejectedAt = -Infinity
  /** Whether a job has succeeded since the server started; one that has fallen over returns with one job at a time. */
  private hasSucceeded = false
  private limit: RequestLimit | undefined

  /** @param brittleness - the state of the server's service */
  constructor (private readonly brittleness: Brittleness) {}

  /**
   * Records that a response of the server says that it is brittle.
   *
   * @param run - the job whose response it is, if known
   * @param rejectionsPerS - rejections for want of room that the server endures
   * @param now - monotonic time, in milliseconds
   */
  recordStatement (run: RunningJob | undefined, rejectionsPerS: number, now: number): void {
    this.brittleness.record(rejectionsPerS, now)
    if (run !== undefined) run.statesBrittleness = true
  }

  /** @param run - a job whose response has begun, if known */
  recordResponse (run: RunningJob | undefined): void {
    if (run?.statesBrittleness === false) this.brittleness.recordAbsence(run.grantedAt)
  }

  /** Records that the server is granted a job. */
  recordGrant (): void {
    this.limit?.take()
  }

  /**
   * Records how a job ended.
   *
   * @param outcome - how it ended
   * @param now - monotonic time, in milliseconds
   */
  recordOutcome (outcome: Outcome, now: number): void {
    if (outcome === Outcome.rejected) this.rejectedAt = now
    this.hasSucceeded ||= SUCCESSES.has(outcome)
  }

  /**
   * @param slots - slots of the server
   * @param running - the jobs that it runs
   * @param share - share of the slots that may be used here, 0 to 1
   * @param now - monotonic time, in milliseconds
   * @returns how many more jobs the server may get; infinite if the servers are not brittle
   */
  available (slots: number, running: ReadonlyMap<string, RunningJob>, share: number, now: number): number {
    const rejectionsPerS = this.brittleness.rejectionsPerS(now)
    if (rejectionsPerS === undefined) {
      this.limit = undefined
      return Infinity
    }
    if (now - this.rejectedAt < REJECTION_PAUSE_MS) return 0
    const permitted = Math.min(Math.floor(slots * share), this.hasSucceeded ? Infinity : 1)
    if (permitted < 1) return Math.min(this.limitedRequests(share, now), 1 - running.size)
    const unanswered = [...running.values()]
      .filter(({ firstEventAt, grantedAt }) => firstEventAt === undefined && now - grantedAt < SECOND_MS).length
    return Math.max(0, Math.min(permitted - running.size, Math.max(1, rejectionsPerS) - unanswered))
  }

  /** With less than a slot for each scheduler, all together get no more than the server may reject. */
  private limitedRequests (share: number, now: number): number {
    this.limit ??= this.brittleness.createLimit(now)
    return this.limit.available(share, now)
  }
}
