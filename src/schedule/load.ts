import type { BackendServer } from '../fleet/index.js'
import { Health } from './health.js'
import { type Job, ranksBelow } from './job.js'
import { Outcome } from './outcome.js'
import { Pace } from './speed.js'

/** A job that a server works on. */
export interface Run {
  readonly job: Job
  readonly grantedAt: number
  /** Prompt tokens that the server had to read before this job's first event, its own included. */
  readonly tokensBefore: number
  /** When the first event came. */
  startedAt: number | undefined
}

/** Time that a server in another data centre adds, in milliseconds: the way there and back. */
const OTHER_DATA_CENTRE_MS = 4

/** How much a certain failure weighs against waiting, as parts of the latency objective. */
const FAILURE_OBJECTIVES = 3

/** Part of the caller's time that an answer may be expected to take without doubt; estimates are often off by half. */
const SURE_FINISH_PART = 0.5

/** How much an answer that would take twice its time weighs against waiting, as parts of the objective. */
const UNFINISHED_OBJECTIVES = 3

/** Added for each job that runs already, in milliseconds: each one slows the others a little. */
const RUNNING_MS = 1

/** Part of its objective that a job waits for a server where it holds up nobody. */
const PATIENT_PART = 0.15

/** Part of the longest pause that is planned for; the rest is for what is not foreseen. */
const USED_PAUSE_PART = 0.9

/** Most prompt tokens that an engine reads between two events: a usual chunk of 2,048 at each of six steps. */
const READ_BETWEEN_EVENTS_TOKENS = 6 * 2_048

/** What one backend server has to do, and how well it does it. */
export class Load {
  readonly pace = new Pace()
  readonly health = new Health()
  readonly running = new Map<string, Run>()

  /** @param server - the newest statement of the server */
  constructor (public server: BackendServer) {}

  /**
   * Puts a job on the server.
   *
   * @param job - runs there from now on
   * @param now - steady time, in milliseconds
   */
  begin (job: Job, now: number): void {
    const tokensBefore = this.unreadTokens + job.promptTokens
    this.running.set(job.id, { job, grantedAt: now, tokensBefore, startedAt: undefined })
  }

  /**
   * Tells that a job's first event came.
   *
   * @param job - the job's id
   * @param now - steady time, in milliseconds
   */
  started (job: string, now: number): void {
    const run = this.running.get(job)
    if (run === undefined || run.startedAt !== undefined) return
    run.startedAt = now
    this.pace.sawFirst(now - run.grantedAt, run.tokensBefore)
  }

  /**
   * Takes a job off the server.
   *
   * @param job - the job's id
   * @param outcome - what became of it
   * @param stepMs - mean pause between its events or length of the call, if known; in milliseconds
   * @param now - steady time, in milliseconds
   */
  end (job: string, outcome: Outcome, stepMs: number | undefined, now: number): void {
    this.running.delete(job)
    this.health.saw(outcome, now)
    if (stepMs !== undefined) this.pace.sawStep(stepMs)
  }

  /** Prompt tokens that the server still has to read before it can take up another prompt. */
  get unreadTokens (): number {
    let tokens = 0
    for (const run of this.running.values()) if (run.startedAt === undefined) tokens += run.job.promptTokens
    return tokens
  }

  /**
   * @param share - part of the server's places that may be used here, 0 to 1
   * @param now - steady time, in milliseconds
   * @returns how many more jobs it may get
   */
  freePlaces (share: number, now: number): number {
    if (this.health.rests(now)) return 0
    const places = this.health.isOnTrial ? 1 : Math.max(1, Math.ceil(this.server.slots * share))
    return Math.max(0, places - this.running.size)
  }

  /**
   * Tells whether reading a job's prompt would hold up the events of running streams of its rank or above for too
   * long. A job that has waited for a good part of its objective goes anyway.
   *
   * @param job - asks for a place
   * @param now - steady time, in milliseconds
   * @returns whether the job should go elsewhere or wait
   */
  wouldPause (job: Job, now: number): boolean {
    if (job.promptTokens === 0 || now - job.arrivedAt > PATIENT_PART * job.objectiveMs) return false
    let boundMs = Infinity
    for (const run of this.running.values()) {
      if (run.startedAt === undefined || run.job.pauseMs === 0 || ranksBelow(run.job, job)) continue
      boundMs = Math.min(boundMs, run.job.pauseMs)
    }
    if (boundMs === Infinity) return false
    const tokens = Math.min(this.unreadTokens + job.promptTokens, READ_BETWEEN_EVENTS_TOKENS)
    return this.pace.stepMs + tokens * this.pace.tokenMs > USED_PAUSE_PART * boundMs
  }

  /**
   * Tells whether a job would most likely not be finished here in its caller's time. Like `wouldPause`, this does not
   * keep a job waiting for long.
   *
   * @param job - asks for a place
   * @param now - steady time, in milliseconds
   * @returns whether the job should go elsewhere or wait
   */
  wouldMiss (job: Job, now: number): boolean {
    if (job.promptTokens === 0 || now - job.arrivedAt > PATIENT_PART * job.objectiveMs) return false
    return this.finishPart(job, now) > 1
  }

  /**
   * Estimates how late a job's first event or answer would be here.
   *
   * @param job - asks for a place
   * @param now - steady time, in milliseconds
   * @returns the estimate in milliseconds, failures weighed in
   */
  cost (job: Job, now: number): number {
    const own = job.promptTokens > 0
      ? this.pace.firstEventMs(this.unreadTokens + job.promptTokens)
      : this.pace.stepMs * (1 + this.running.size / this.server.slots)
    const way = job.dataCentre === this.server.dataCentre ? 0 : OTHER_DATA_CENTRE_MS
    const failures = this.health.failureShare(now) * FAILURE_OBJECTIVES * job.objectiveMs
    const over = Math.max(0, this.finishPart(job, now) - SURE_FINISH_PART)
    const unfinished = over * UNFINISHED_OBJECTIVES * job.objectiveMs
    return own + way + failures + unfinished + RUNNING_MS * this.running.size
  }

  /**
   * @param job - asks for a place
   * @returns how long it would take here to its last event, in milliseconds
   */
  expectedMs (job: Job): number {
    if (job.promptTokens === 0) return this.pace.stepMs
    return this.pace.firstEventMs(this.unreadTokens + job.promptTokens) + job.events * this.pace.stepMs
  }

  /** The part of its caller's remaining time that a job would take here. */
  private finishPart (job: Job, now: number): number {
    return this.expectedMs(job) / Math.max(1, job.deadlineAt - now)
  }
}

/**
 * Chooses a server for a job.
 *
 * @param loads - the servers of the job's service that have a free place
 * @param job - asks for a place
 * @param now - steady time, in milliseconds
 * @returns the server where the job costs least, or undefined if it should wait
 */
export function cheapest (loads: readonly Load[], job: Job, now: number): Load | undefined {
  let best: Load | undefined
  let lowest = Infinity
  for (const load of loads) {
    if (job.avoided.includes(load.server.id)) continue
    if (load.wouldPause(job, now) || load.wouldMiss(job, now)) continue
    const cost = load.cost(job, now)
    if (cost >= lowest) continue
    best = load
    lowest = cost
  }
  return best
}
