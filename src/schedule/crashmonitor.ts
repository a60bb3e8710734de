import type { BackendServer } from '../fleet/index.js'
import { type CrashObserver, PoisonDetector } from '../poison/index.js'
import type { Job } from './job.js'
import { Outcome } from './outcome.js'

/** Outcomes that show that the server at the address is gone. */
const SERVER_LOSSES: ReadonlySet<Outcome> = new Set([Outcome.unreachable, Outcome.misdirected])

/** Outcomes with a response of the server itself. */
const RESPONSES: ReadonlySet<Outcome> = new Set([Outcome.done, Outcome.declined, Outcome.failed, Outcome.rejected])

interface Run {
  readonly job: Job
  /** Incarnation of the server. */
  readonly server: string
  hasStarted: boolean
}

/** Follows the running jobs of all servers, listed or not, to find requests that crash servers. */
export class CrashMonitor {
  private readonly runs = new Map<string, Run>()
  private readonly detector: PoisonDetector

  /** @param observer - is told of crashes and of blocked prompt parts */
  constructor (observer: CrashObserver) {
    this.detector = new PoisonDetector(observer)
  }

  /**
   * Records that a server runs a job.
   *
   * @param job - the job
   * @param server - the server
   * @param hasStarted - whether its first event arrived
   */
  recordGrant (job: Job, server: BackendServer, hasStarted = false): void {
    this.runs.set(job.id, { job, server: `${server.id}/${server.born}`, hasStarted })
  }

  /**
   * Records the first event of a job.
   *
   * @param jobId - the job's id
   * @param now - monotonic time, in milliseconds
   */
  recordFirstEvent (jobId: string, now: number): void {
    const run = this.runs.get(jobId)
    if (run === undefined) return
    run.hasStarted = true
    this.detector.recordResponse(run.server, now)
  }

  /**
   * Records the end of a job at its server.
   *
   * @param jobId - the job's id
   * @param outcome - how the job ended
   * @param now - monotonic time, in milliseconds
   */
  recordEnd (jobId: string, outcome: Outcome, now: number): void {
    const run = this.runs.get(jobId)
    if (run === undefined) return
    this.runs.delete(jobId)
    if (outcome === Outcome.broken) this.detector.recordDisconnect(run.job, run.server, now)
    if (SERVER_LOSSES.has(outcome)) this.detector.recordServerLoss(run.server, now)
    if (RESPONSES.has(outcome)) this.detector.recordResponse(run.server, now)
    if (outcome === Outcome.done && run.hasStarted) this.detector.recordCompletion(run.job)
  }

  /** @param isGone - whether the job with an id is no longer running */
  dropJobs (isGone: (id: string) => boolean): void {
    for (const id of this.runs.keys()) if (isGone(id)) this.runs.delete(id)
  }

  /**
   * @param job - a job that is submitted or queued
   * @param now - monotonic time, in milliseconds
   * @returns whether it must be refused, since requests like it crash servers
   */
  isPoison (job: Job, now: number): boolean {
    return this.detector.isPoison(job, now)
  }

  /**
   * Requests with a part that may have crashed a server run one at a time, so that they cannot crash several before the
   * crashes are attributed to the part.
   *
   * @param job - a queued job
   * @returns whether it must wait for the end of a running job with the same part
   */
  mustWait (job: Job): boolean {
    const suspects = this.detector.suspectParts(job)
    if (suspects.length === 0) return false
    for (const run of this.runs.values()) {
      if (run.job.sharedPromptParts.some(part => suspects.includes(part))) return true
    }
    return false
  }

  /** @returns the crashes and blocked prompt parts, for a dump */
  dump (): unknown {
    return this.detector.dump()
  }
}
