import { HIGHEST_TIER, LOWEST_TIER } from '../config/index.js'
import type { Effect, Forecast } from './effect.js'
import { FairQueue } from './fairqueue.js'
import { type Job, RefusalReason } from './job.js'
import { ConcurrencyLimit } from './concurrencylimit.js'
import { ReservedSlots } from './reservedslots.js'
import { isPreemptedBefore, type RunningJob } from './runningjob.js'
import { SpeedEstimate } from './speedestimate.js'

const MAX_QUEUE_LENGTH = 4_096
const MIN_RETRY_AFTER_MS = 1_000
/** A job is urgent once its slack is at most this share of the time from its arrival to its start deadline. */
const URGENT_SHARE = 0.5

/**
 * Admission control and queue of one backend server. Serves tiers in strict
 * priority and, within a tier, the earliest start deadline first, with fairness
 * between organisations. Refuses at once a job that would miss its deadlines, and
 * preempts running jobs of lower tiers for urgent ones of higher tiers. Performs
 * no I/O and reads no clock: it returns effects for the caller to carry out.
 */
export class AdmissionController {
  /** Waiting jobs by tier. */
  private readonly queues = Array.from({ length: LOWEST_TIER + 1 }, () => new FairQueue())
  private readonly runningJobs = new Map<string, RunningJob>()
  /** Ids of running jobs that were preempted and have not been removed yet. */
  private readonly preempted = new Set<string>()
  private readonly reservedSlots = new ReservedSlots()
  /** Adaptive limit on the number of running jobs. */
  readonly limit = new ConcurrencyLimit()
  readonly speedEstimate = new SpeedEstimate()

  /** Running jobs by id, in order of dispatch. */
  get running (): ReadonlyMap<string, RunningJob> {
    return this.runningJobs
  }

  /** Number of waiting jobs. */
  get queueLength (): number {
    return this.queues.reduce((sum, queue) => sum + queue.size, 0)
  }

  /**
   * Predicts whether and when a job that arrived now would be dispatched, without queuing it.
   *
   * @param job - the job to assess
   * @param now - the current time, in milliseconds since the epoch
   * @returns the forecast
   */
  forecast (job: Job, now: number): Forecast {
    const waitMs = this.queueWaitMs(job, now)
    const accepts = this.queueLength < MAX_QUEUE_LENGTH && this.canMeetDeadlines(job, waitMs, now)
    return { accepts, waitMs, yields: this.canPreempt(job.tier) }
  }

  /**
   * Queues a job, or refuses it if the queue is full or the job would miss its deadlines.
   *
   * @param job - the job
   * @param now - the current time, in milliseconds since the epoch
   * @returns the effects to carry out
   */
  submit (job: Job, now: number): Effect[] {
    const forecast = this.forecast(job, now)
    if (!forecast.accepts && !this.mustAccept(job)) {
      const reason = this.queueLength < MAX_QUEUE_LENGTH ? RefusalReason.late : RefusalReason.full
      return [{ effect: 'refuse', job, reason, retryAfterMs: this.retryAfterMs(job, forecast.waitMs) }]
    }
    this.queues[job.tier]!.push(job, this.speedEstimate.serviceMs(job))
    return this.decide(now)
  }

  /**
   * Removes a job that ended, was cancelled or was preempted.
   *
   * @param id - id of a waiting or running job; other ids are ignored
   * @param now - the current time, in milliseconds since the epoch
   * @returns the effects to carry out
   */
  remove (id: string, now: number): Effect[] {
    const run = this.runningJobs.get(id)
    if (run !== undefined) {
      this.runningJobs.delete(id)
      this.preempted.delete(id)
      return this.decide(now)
    }
    for (const queue of this.queues) queue.remove(id)
    return []
  }

  /** @returns all waiting jobs, removed from the queue */
  clearQueue (): Job[] {
    const jobs = this.queues.flatMap(queue => queue.jobs())
    for (const job of jobs) this.remove(job.id, job.arrivedAt)
    return jobs
  }

  /**
   * Updates the speed estimate and the concurrency limit from tokens of a running job.
   *
   * @param id - id of the job; ignored unless it is running
   * @param tokens - number of tokens received together
   * @param now - the current time, in milliseconds since the epoch
   */
  recordTokens (id: string, tokens: number, now: number): void {
    const run = this.runningJobs.get(id)
    if (run === undefined || tokens <= 0) return
    const elapsedMs = now - run.lastTokenAt
    if (run.tokens === 0) {
      this.recordFirstToken(run, elapsedMs, now)
    } else {
      this.speedEstimate.recordTokens(tokens, elapsedMs)
      this.limit.recordGap(elapsedMs / tokens, this.queueLength > 0, now)
    }
    run.lastTokenAt = now
    run.tokens += tokens
  }

  /**
   * Dispatches waiting jobs to free slots, refuses those that can no longer
   * meet their deadlines, and preempts running jobs for urgent ones.
   *
   * @param now - the current time, in milliseconds since the epoch
   * @returns the effects to carry out
   */
  decide (now: number): Effect[] {
    const effects: Effect[] = []
    for (let job = this.nextJob(); job !== undefined; job = this.nextJob()) {
      if (!this.canMeetDeadlines(job, 0, now) && !this.mustAccept(job)) {
        this.queues[job.tier]!.pop()
        const retryAfterMs = this.retryAfterMs(job, this.queueWaitMs(job, now))
        effects.push({ effect: 'refuse', job, reason: RefusalReason.late, retryAfterMs })
      } else if (this.hasSlot(job, now)) {
        this.queues[job.tier]!.pop()
        this.runningJobs.set(job.id, { job, startedAt: now, lastTokenAt: now, tokens: 0 })
        effects.push({ effect: 'dispatch', job })
      } else {
        effects.push(...this.preemptFor(job, now))
        break
      }
    }
    return effects
  }

  /**
   * @param now - the current time, in milliseconds since the epoch
   * @returns when to decide again if no event occurs before, in milliseconds since the epoch: once the next job may
   * be urgent, then at its start deadline; undefined if no job waits
   */
  wakeAt (now: number): number | undefined {
    const job = this.nextJob()
    if (job === undefined) return undefined
    const urgentAt = job.startBy - (job.startBy - job.arrivedAt) * URGENT_SHARE
    return now < urgentAt ? urgentAt : Math.max(job.startBy, now + 1)
  }

  private recordFirstToken (run: RunningJob, elapsedMs: number, now: number): void {
    const serverWaitMs = Math.max(0, elapsedMs - this.speedEstimate.firstTokenMs(run.job))
    this.speedEstimate.recordFirstToken(run.job.promptTokens, elapsedMs)
    this.limit.recordWait(serverWaitMs, this.queueLength > 0, now)
  }

  /** How many jobs may run at once if the next one is of this tier. */
  private slotsFor (tier: number, now: number): number {
    return Math.max(1, this.limit.jobs - this.reservedSlots.countFor(tier, this.limit.jobs, now))
  }

  private hasSlot (job: Job, now: number): boolean {
    if (this.runningJobs.size < this.slotsFor(job.tier, now)) return true
    return this.isUrgent(job, now) && this.limit.tryAddSlot(now)
  }

  /** The waiting job that is served next. */
  private nextJob (): Job | undefined {
    for (const queue of this.queues) if (queue.size > 0) return queue.peek()
    return undefined
  }

  /** Whether a job that is dispatched in `waitMs` would produce its first and last token in time. */
  private canMeetDeadlines (job: Job, waitMs: number, now: number): boolean {
    const startAt = now + waitMs + this.limit.serverWaitMs + this.speedEstimate.firstTokenMs(job)
    const finishAt = now + waitMs + this.limit.serverWaitMs + this.speedEstimate.serviceMs(job)
    return startAt <= job.startBy && finishAt <= job.finishBy
  }

  /** Estimated time until a job is dispatched. Jobs of lower tiers do not count, since they can be preempted. */
  private queueWaitMs (job: Job, now: number): number {
    let { jobs: jobsAhead, workMs: workAheadMs } =
      this.queues[job.tier]!.workAhead(job.organisation, this.speedEstimate.serviceMs(job))
    for (let tier = HIGHEST_TIER; tier < job.tier; tier++) {
      const { jobs, workMs } = this.queues[tier]!.total
      jobsAhead += jobs
      workAheadMs += workMs
    }
    let freeSlots = this.slotsFor(job.tier, now)
    let nextSlotMs = Infinity
    for (const run of this.runningJobs.values()) {
      if (run.job.tier > job.tier) continue
      freeSlots--
      nextSlotMs = Math.min(nextSlotMs, this.remainingMs(run, now))
    }
    if (jobsAhead < freeSlots) return 0
    return workAheadMs / this.limit.jobs + (freeSlots > 0 ? 0 : nextSlotMs)
  }

  /** Estimated time until a running job ends; at least the time of one token. */
  private remainingMs (run: RunningJob, now: number): number {
    const expectedMs = this.speedEstimate.serviceMs(run.job)
    return Math.max(expectedMs - (now - run.startedAt), this.speedEstimate.tokenGapMs)
  }

  /** By how much the estimated wait exceeds the wait that the start deadline allows. */
  private retryAfterMs (job: Job, waitMs: number): number {
    const slackMs = job.startBy - job.arrivedAt - this.speedEstimate.firstTokenMs(job)
    return Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs - slackMs))
  }

  /** Whether to accept a job that would be late: one of the top tier, if a lower tier can be preempted for it. */
  private mustAccept (job: Job): boolean {
    return job.tier === HIGHEST_TIER && this.queueLength < MAX_QUEUE_LENGTH && this.canPreempt(job.tier)
  }

  /** Whether a job of a tier below this one is running and was not preempted yet. */
  private canPreempt (tier: number): boolean {
    for (const run of this.runningJobs.values()) if (run.job.tier > tier && !this.preempted.has(run.job.id)) return true
    return false
  }

  private isUrgent (job: Job, now: number): boolean {
    const slackMs = job.startBy - now - this.speedEstimate.firstTokenMs(job)
    return slackMs <= (job.startBy - job.arrivedAt) * URGENT_SHARE
  }

  /** If the job is urgent, preempts a running job of a lower tier for each waiting job of its tier and above. */
  private preemptFor (job: Job, now: number): Effect[] {
    if (!this.isUrgent(job, now)) return []
    // Jobs that were preempted before and still hold their slots count towards the number.
    let slotsNeeded = -this.preempted.size
    for (let tier = 1; tier <= job.tier; tier++) slotsNeeded += this.queues[tier]!.size
    const candidates = [...this.runningJobs.values()]
      .filter(run => run.job.tier > job.tier && !this.preempted.has(run.job.id))
    const victims = candidates.sort((a, b) => isPreemptedBefore(a, b) ? -1 : 1).slice(0, Math.max(0, slotsNeeded))
    return victims.map(({ job: victim }) => {
      this.preempted.add(victim.id)
      this.reservedSlots.recordPreemption(victim.tier, this.limit.jobs, now)
      return { effect: 'yield', job: victim }
    })
  }
}
