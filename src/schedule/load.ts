import type { BackendServer } from '../fleet/index.js'
import { Allowance, Brittleness, ColdBound, type HostShares, type ServiceBounds } from './allowance/index.js'
import { Health } from './health.js'
import { type Job, ranksBelow } from './job.js'
import { ANSWERED, Outcome, SUCCESSES } from './outcome.js'
import type { RunningJob } from './runningjob.js'
import { SpeedEstimate } from './speed.js'
import { Turnaround } from './turnaround/index.js'

/** Round-trip time to a server in another data centre, in milliseconds. */
const REMOTE_ROUND_TRIP_MS = 4

/** Cost of a server whose requests all fail, in latency objectives. */
const FAILURE_COST_OBJECTIVES = 3

/**
 * Share of the time until the caller's deadline that a response may be expected to take at no cost. Estimates are often
 * off by half.
 */
const SAFE_DEADLINE_SHARE = 0.5

/**
 * Cost of a response that is expected to exceed the safe share by the whole time until the deadline, in latency
 * objectives.
 */
const DEADLINE_COST_OBJECTIVES = 3

/** Cost of each job that already runs, in milliseconds: each one slows the others a little. */
const RUNNING_JOB_COST_MS = 1

/** Share of its objective for which a job waits for a server where it would delay no stream and meet its deadline. */
const MAX_HOLD_SHARE = 0.15

/** Share of the longest permitted gap between events that is planned for; the rest covers estimation errors. */
const PLANNED_GAP_SHARE = 0.9

/** Most prompt tokens that an engine processes between two events: six steps with a usual chunk of 2,048 each. */
const MAX_PREFILL_BETWEEN_EVENTS_TOKENS = 6 * 2_048

/** Running jobs, speed estimate and health of one backend server. */
export class ServerLoad {
  readonly speed = new SpeedEstimate()
  readonly health = new Health()
  readonly running = new Map<string, RunningJob>()
  readonly allowance: Allowance
  private readonly turnaround = new Turnaround()

  /**
   * @param server - the server as last announced
   * @param bounds - the bounds of its service; none by default
   */
  constructor (
    public server: BackendServer,
    bounds: ServiceBounds = { brittleness: new Brittleness(), cold: new ColdBound(undefined) }
  ) {
    this.allowance = new Allowance(bounds)
  }

  /**
   * Grants a slot of the server to a job.
   *
   * @param job - the job
   * @param now - monotonic time, in milliseconds
   */
  grant (job: Job, now: number): void {
    this.allowance.recordGrant(now)
    this.addJob(job, now)
  }

  /**
   * Adds a job that holds a slot of the server.
   *
   * @param job - the job that was granted a slot
   * @param now - monotonic time, in milliseconds
   */
  addJob (job: Job, now: number): void {
    const tokensBefore = this.pendingPromptTokens + job.promptTokens
    this.running.set(job.id, {
      job,
      grantedAt: now,
      tokensBefore,
      firstEventAt: undefined,
      isSilent: false,
      statesLimit: !job.reportsLimits,
      statesBrittleness: !job.reportsLimits
    })
  }

  /**
   * Records the first event of a job.
   *
   * @param jobId - the job's id
   * @param now - monotonic time, in milliseconds
   */
  recordFirstEvent (jobId: string, now: number): void {
    const run = this.running.get(jobId)
    if (run === undefined || run.firstEventAt !== undefined) return
    this.allowance.recordResponse(run)
    this.recordAnswer(run, now)
    run.firstEventAt = now
    this.speed.recordFirstEvent(now - run.grantedAt, run.tokensBefore)
  }

  /**
   * Records that the server sends nothing for a job; counts once per job.
   *
   * @param jobId - the job's id
   * @param now - monotonic time, in milliseconds
   */
  recordSilence (jobId: string, now: number): void {
    const run = this.running.get(jobId)
    if (run === undefined || run.isSilent) return
    run.isSilent = true
    this.allowance.recordOutcome(Outcome.silent, this.running.size, now)
    this.health.recordOutcome(Outcome.silent, now)
  }

  /**
   * Removes a job from the server and records how it ended.
   *
   * @param jobId - the job's id
   * @param outcome - how the job ended
   * @param stepMs - mean gap between its events or length of the call, if known; in milliseconds
   * @param now - monotonic time, in milliseconds
   */
  removeJob (jobId: string, outcome: Outcome, stepMs: number | undefined, now: number): void {
    const run = this.running.get(jobId)
    const wasSilent = run?.isSilent === true
    if (run?.firstEventAt === undefined && ANSWERED.has(outcome)) this.allowance.recordResponse(run)
    if (run !== undefined && run.firstEventAt === undefined && SUCCESSES.has(outcome)) this.recordAnswer(run, now)
    this.allowance.recordOutcome(outcome, this.running.size, now)
    if (run !== undefined) this.recordTurnaround(run, outcome, stepMs, now)
    this.running.delete(jobId)
    if (outcome !== Outcome.silent || !wasSilent) this.health.recordOutcome(outcome, now)
    if (stepMs !== undefined) this.speed.recordStep(stepMs)
  }

  private recordAnswer (run: RunningJob, now: number): void {
    this.allowance.pace.recordAnswer(now - run.grantedAt <= run.job.objectiveMs, this.server.slots)
  }

  private recordTurnaround (run: RunningJob, outcome: Outcome, stepMs: number | undefined, now: number): void {
    if (outcome === Outcome.rejected && this.running.size > this.server.slots) this.turnaround.recordRejection(now)
    // For streams, stepMs is the gap between events rather than the length of the call.
    const isCall = run.job.promptTokens === 0 && run.job.maxEventGapMs === 0
    if (isCall && stepMs !== undefined) this.turnaround.recordCall(now - run.grantedAt, stepMs)
  }

  /** Prompt tokens that the server has yet to process before it can start on another prompt. */
  get pendingPromptTokens (): number {
    let tokens = 0
    for (const run of this.running.values()) if (run.firstEventAt === undefined) tokens += run.job.promptTokens
    return tokens
  }

  /**
   * @param shares - shares of the server's slots and bounds that may be used here
   * @param now - monotonic time, in milliseconds
   * @returns how many more jobs the server may get
   */
  freeSlots (shares: HostShares, now: number): number {
    if (this.health.isBackingOff(now)) return 0
    const slots = Math.max(1, Math.ceil(this.server.slots * shares.connected))
    const permitted = slots + this.extraCalls(shares, now)
    const freeSlots = Math.max(0, permitted - this.running.size)
    return Math.min(freeSlots, this.allowance.available(this.server.slots, this.running, shares, now))
  }

  /**
   * @param shares - shares of the server's slots and bounds that may be used here
   * @param now - monotonic time, in milliseconds
   * @returns how many calls more than it has slots the server may have
   */
  extraCalls (shares: HostShares, now: number): number {
    return this.turnaround.extraCalls(this.server.slots, shares.connected, now)
  }

  /**
   * Estimates whether processing a job's prompt would delay the events of running streams of its rank or above for too
   * long. A job that has waited for `MAX_HOLD_SHARE` of its objective is no longer held back.
   *
   * @param job - a queued job
   * @param now - monotonic time, in milliseconds
   * @returns whether the job should get another server or wait
   */
  wouldDelayStreams (job: Job, now: number): boolean {
    if (job.promptTokens === 0 || now - job.arrivedAt > MAX_HOLD_SHARE * job.objectiveMs) return false
    let maxGapMs = Infinity
    for (const run of this.running.values()) {
      if (run.firstEventAt === undefined || run.job.maxEventGapMs === 0 || ranksBelow(run.job, job)) continue
      maxGapMs = Math.min(maxGapMs, run.job.maxEventGapMs)
    }
    if (maxGapMs === Infinity) return false
    const tokens = Math.min(this.pendingPromptTokens + job.promptTokens, MAX_PREFILL_BETWEEN_EVENTS_TOKENS)
    return this.speed.stepMs + tokens * this.speed.tokenMs > PLANNED_GAP_SHARE * maxGapMs
  }

  /**
   * Estimates whether the response to a job would be complete only after its caller's deadline. Like
   * `wouldDelayStreams`, this holds a job back only for a short time.
   *
   * @param job - a queued job
   * @param now - monotonic time, in milliseconds
   * @returns whether the job should get another server or wait
   */
  wouldMissDeadline (job: Job, now: number): boolean {
    if (job.promptTokens === 0 || now - job.arrivedAt > MAX_HOLD_SHARE * job.objectiveMs) return false
    return this.deadlineShare(job, now) > 1
  }

  /**
   * Estimates the cost of running a job here: the time to its first event or response, with penalties for the server's
   * failure rate, for a response that may miss the deadline and for jobs that already run.
   *
   * @param job - a queued job
   * @param now - monotonic time, in milliseconds
   * @returns the cost, in milliseconds
   */
  costMs (job: Job, now: number): number {
    const serviceMs = job.promptTokens > 0
      ? this.speed.firstEventMs(this.pendingPromptTokens + job.promptTokens)
      : this.speed.stepMs * (1 + this.running.size / this.server.slots)
    const networkMs = job.dataCentre === this.server.dataCentre ? 0 : REMOTE_ROUND_TRIP_MS
    const failureCostMs = this.health.failureRate(now) * FAILURE_COST_OBJECTIVES * job.objectiveMs
    const excessShare = Math.max(0, this.deadlineShare(job, now) - SAFE_DEADLINE_SHARE)
    const deadlineCostMs = excessShare * DEADLINE_COST_OBJECTIVES * job.objectiveMs
    return serviceMs + networkMs + failureCostMs + deadlineCostMs + RUNNING_JOB_COST_MS * this.running.size
  }

  /**
   * @param job - a queued job
   * @returns the expected time until its last event here, in milliseconds
   */
  expectedDurationMs (job: Job): number {
    if (job.promptTokens === 0) return this.speed.stepMs
    return this.speed.firstEventMs(this.pendingPromptTokens + job.promptTokens) + job.expectedEvents * this.speed.stepMs
  }

  /** Expected duration of a job here, as a share of the time until its caller's deadline. */
  private deadlineShare (job: Job, now: number): number {
    return this.expectedDurationMs(job) / Math.max(1, job.deadlineAt - now)
  }
}
