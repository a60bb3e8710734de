import type { BackendServer } from '../fleet/index.js'
import { type CrashEvidence, type CrashObserver, type DisconnectedRequest, PoisonDetector } from '../poison/index.js'
import type { Job } from './job.js'
import { Outcome, SUCCESSES } from './outcome.js'

/** Outcomes that show that the server at the address is gone. */
const SERVER_LOSSES: ReadonlySet<Outcome> = new Set([Outcome.unreachable, Outcome.misdirected])

/** Outcomes with a response of the server itself. */
const RESPONSES: ReadonlySet<Outcome> = new Set([...SUCCESSES, Outcome.failed, Outcome.rejected])

interface Run {
  readonly job: Job
  /** Incarnation of the server. */
  readonly server: string
  readonly grantedAt: number
  hasStarted: boolean
}

/** Follows the running jobs of all servers, listed or not, to find requests that crash servers. */
export class CrashMonitor {
  private readonly runs = new Map<string, Run>()
  private readonly detector: PoisonDetector
  /** Incarnations of the servers that may get requests. */
  private listedServers: ReadonlySet<string> = new Set()

  /** @param observer - is told of crashes and of blocked prompt parts */
  constructor (observer: CrashObserver) {
    this.detector = new PoisonDetector(observer)
  }

  /** @param servers - all servers that may get requests */
  setServers (servers: readonly BackendServer[]): void {
    this.listedServers = new Set(servers.map(formatIncarnation))
  }

  /**
   * Detects servers that are lost though no connection to them was refused: they are no longer listed, or another
   * incarnation is, and no job runs on them.
   *
   * @param now - monotonic time, in milliseconds
   */
  detectLosses (now: number): void {
    for (const server of this.detector.disconnectedServers(now)) {
      if (this.listedServers.has(server) || this.isRunning(run => run.server === server)) continue
      this.detector.recordServerLoss(server, now)
    }
  }

  /**
   * Records that a server runs a job.
   *
   * @param job - the job
   * @param server - the server
   * @param now - monotonic time, in milliseconds
   * @param hasStarted - whether its first event arrived
   */
  recordGrant (job: Job, server: BackendServer, now: number, hasStarted = false): void {
    this.runs.set(job.id, { job, server: formatIncarnation(server), grantedAt: now, hasStarted })
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
    if (outcome === Outcome.broken) this.recordDisconnect(run, now)
    if (SERVER_LOSSES.has(outcome)) this.detector.recordServerLoss(run.server, now)
    if (RESPONSES.has(outcome)) this.detector.recordResponse(run.server, now)
    if (!run.hasStarted) return
    if (outcome === Outcome.done) this.detector.recordCompletion(run.job)
    if (outcome === Outcome.ended) this.detector.recordDisconnect(toDisconnect(run, true, now))
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
   * @returns whether it must wait until a job with the same part has ended, and it is known why
   */
  mustWait (job: Job): boolean {
    const suspects = this.detector.suspectParts(job)
    if (suspects.length === 0) return false
    return this.detector.isUnresolved(suspects) ||
      this.isRunning(run => run.job.sharedPromptParts.some(part => suspects.includes(part)))
  }

  /** Increases with each change of the evidence. */
  get revision (): number {
    return this.detector.revision
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns what is known of crashes, for other schedulers
   */
  evidence (now: number): CrashEvidence {
    return this.detector.evidence(now)
  }

  /**
   * Adopts the evidence of another scheduler.
   *
   * @param evidence - what it knows of crashes
   * @param isReplacement - whether the other scheduler is in use, so that its evidence replaces what it may refute here
   * @param now - monotonic time, in milliseconds
   */
  adopt (evidence: CrashEvidence, isReplacement: boolean, now: number): void {
    this.detector.adopt(evidence, isReplacement, now)
  }

  /** A server is lost if the connections of all its jobs break together, even if its entry remains for some time. */
  private recordDisconnect (run: Run, now: number): void {
    const { server } = run
    this.detector.recordDisconnect(toDisconnect(run, false, now))
    const breakAt = this.detector.jointBreakAt(server, now)
    if (breakAt === undefined || this.isRunning(other => other.server === server && other.grantedAt < breakAt)) return
    this.detector.recordServerLoss(server, now)
  }

  private isRunning (matches: (run: Run) => boolean): boolean {
    for (const run of this.runs.values()) if (matches(run)) return true
    return false
  }
}

function toDisconnect ({ job, server, grantedAt }: Run, mayBeComplete: boolean, now: number): DisconnectedRequest {
  const { fingerprint, sharedPromptParts } = job
  return { traits: { fingerprint, sharedPromptParts }, server, grantedAt, disconnectedAt: now, mayBeComplete }
}

function formatIncarnation ({ id, born }: BackendServer): string {
  return `${id}/${born}`
}
