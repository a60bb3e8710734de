import type { Clock } from '../base/index.js'
import type { BackendServer } from '../fleet/index.js'
import { HOST_BUDGET_SHARE, type Job, type Outcome, Refusal, type RetryLimits, RetryBudget } from '../schedule/index.js'
import type { SchedulerConnection } from './connection.js'
import type { Reply } from './dispatch_pb.js'
import type { JobState, Placement, JobHandle } from './jobhandle.js'
import { createAsk, encodeBrittleness, encodeJob, encodeLeaving, encodeRequestLimit } from './messages.js'
import { type LimitObserver, StatedLimits } from './statedlimits.js'

/**
 * Requests slots for the jobs of this host from the selected scheduler. When another scheduler is selected, hands over
 * the state of all jobs to it.
 */
export class Dispatcher {
  private readonly jobs = new Map<number, JobState>()
  private lastNumber = 0
  private scheduler: SchedulerConnection | undefined
  /** Quota balance of each organisation as of the last grant to one of its jobs, for the next scheduler. */
  private readonly quotaBalances = new Map<string, { readonly balance: number, readonly at: number }>()

  /**
   * Retry budgets of this host by service. Retries are limited here too, since a newly selected scheduler does not know
   * about earlier ones.
   */
  private readonly retryBudgets = new Map<string, RetryBudget>()

  /** Limits of requests that servers stated to this host. */
  private readonly statedLimits: StatedLimits

  /** Rejections per second that brittle servers endure, as they stated to this host. */
  private readonly statedBrittleness = new StatedLimits(() => undefined)

  /** Share of the slack of the retry budgets that this host may use, 0 to 1. */
  retrySlackShare = 0

  /**
   * @param clock - monotonic time
   * @param retryLimits - limits of the retries of all hosts together
   * @param onLimitChange - called when a server states another limit of requests to this host than before
   */
  constructor (
    private readonly clock: Clock,
    private readonly retryLimits: RetryLimits,
    onLimitChange: LimitObserver = () => undefined
  ) {
    this.statedLimits = new StatedLimits(onLimitChange)
  }

  /**
   * Requests a slot for a job.
   *
   * @param job - the job; its id is assigned here
   * @param onPlacement - called once with the result, possibly before this method returns; not called if the request is
   *   withdrawn first
   * @returns a handle through which the progress of the job is to be reported
   */
  request (job: Omit<Job, 'id'>, onPlacement: (placement: Placement) => void): JobHandle {
    this.lastNumber = (this.lastNumber + 1) >>> 0
    const state: JobState = {
      number: this.lastNumber,
      job: { ...job, id: String(this.lastNumber) },
      onPlacement,
      requestedAt: this.clock.now(),
      isAcknowledged: false,
      server: undefined,
      hasStarted: false,
      isSilenceReported: false
    }
    if (!this.checkRetryBudget(job, state.requestedAt)) {
      onPlacement({ kind: 'refused', reason: Refusal.retryBudget, retryAfterMs: 0 })
      const ignore = (): void => undefined
      return {
        reportStarted: ignore,
        reportSilent: ignore,
        reportRequestLimit: ignore,
        reportBrittleness: ignore,
        reportLeaving: ignore,
        reportEnded: ignore,
        withdraw: ignore
      }
    }
    this.jobs.set(state.number, state)
    this.scheduler?.send(createAsk(state.number, { case: 'place', value: encodeJob(state.job, state.requestedAt) }))
    return {
      reportStarted: () => this.reportStarted(state),
      reportSilent: () => this.reportSilent(state),
      reportRequestLimit: (server, requestsPerS) => this.reportRequestLimit(state, server, requestsPerS),
      reportBrittleness: (server, rejectionsPerS) => this.reportBrittleness(state, server, rejectionsPerS),
      reportLeaving: server => this.reportLeaving(server),
      reportEnded: (outcome, stepMs) => this.reportEnded(state, outcome, stepMs),
      withdraw: () => this.withdraw(state)
    }
  }

  /**
   * Switches to another scheduler. Hands over the quota balances, the limits that servers state and the jobs that hold
   * a slot, then requests the slots of the queued jobs again.
   *
   * @param scheduler - the connection to the scheduler
   */
  switchScheduler (scheduler: SchedulerConnection): void {
    this.scheduler = scheduler
    const now = this.clock.now()
    const balances = [...this.quotaBalances].map(([organisation, { balance, at }]) => (
      { organisation, level: balance, ageMs: now - at }
    ))
    if (balances.length > 0) scheduler.send(createAsk(0, { case: 'levels', value: { levels: balances } }))
    for (const { server, value } of this.statedLimits.list()) {
      scheduler.send(createAsk(0, encodeRequestLimit(server, value)))
    }
    for (const { server, value } of this.statedBrittleness.list()) {
      scheduler.send(createAsk(0, encodeBrittleness(server, value)))
    }
    for (const server of this.statedLimits.listLeaving()) scheduler.send(createAsk(0, encodeLeaving(server)))
    for (const state of this.jobs.values()) {
      const { number, job, server, hasStarted } = state
      if (server === undefined) continue
      const slotRequest = encodeJob(job, now)
      scheduler.send(createAsk(number, { case: 'adopt', value: { place: slotRequest, server, started: hasStarted } }))
    }
    for (const state of this.jobs.values()) {
      if (state.server !== undefined) continue
      state.requestedAt = now
      state.isAcknowledged = false
      scheduler.send(createAsk(state.number, { case: 'place', value: encodeJob(state.job, now) }))
    }
  }

  /**
   * Handles a reply of the selected scheduler.
   *
   * @param reply - a reply that concerns one of the jobs of this host
   */
  handleReply (reply: Reply): void {
    const state = this.jobs.get(reply.job)
    if (state === undefined) {
      this.releaseLateGrant(reply)
      return
    }
    state.isAcknowledged = true
    const { body } = reply
    if (body.case === 'grant') {
      state.server = body.value.server
      this.recordQuotaBalance(state.job.organisation, body.value.level)
      state.onPlacement({ kind: 'granted', server: body.value.server })
    } else if (body.case === 'refused') {
      this.jobs.delete(state.number)
      const { reason, retryAfterMs } = body.value
      state.onPlacement({ kind: 'refused', reason: reason as Refusal, retryAfterMs })
    }
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the age of the oldest request that the scheduler has not replied to, in milliseconds; 0 if there is none
   */
  longestUnacknowledgedMs (now: number): number {
    let longestMs = 0
    for (const state of this.jobs.values()) {
      if (state.server === undefined && !state.isAcknowledged) longestMs = Math.max(longestMs, now - state.requestedAt)
    }
    return longestMs
  }

  /** Whether any job of this host is waiting for a slot. */
  get hasQueuedJobs (): boolean {
    for (const state of this.jobs.values()) if (state.server === undefined) return true
    return false
  }

  /** Number of jobs of this host that are queued or hold a slot. */
  get jobCount (): number {
    return this.jobs.size
  }

  private reportStarted (state: JobState): void {
    if (state.server === undefined || state.hasStarted) return
    state.hasStarted = true
    this.scheduler?.send(createAsk(state.number, { case: 'started', value: { server: state.server } }))
  }

  private reportSilent (state: JobState): void {
    if (state.server === undefined || state.isSilenceReported) return
    state.isSilenceReported = true
    this.scheduler?.send(createAsk(state.number, { case: 'silent', value: { server: state.server } }))
  }

  private reportRequestLimit (state: JobState, server: BackendServer, requestsPerS: number | undefined): void {
    this.statedLimits.record(server, requestsPerS, state.requestedAt, this.clock.now())
    if (requestsPerS === undefined) return
    this.scheduler?.send(createAsk(state.number, encodeRequestLimit(server, requestsPerS)))
  }

  private reportBrittleness (state: JobState, server: BackendServer, rejectionsPerS: number | undefined): void {
    this.statedBrittleness.record(server, rejectionsPerS, state.requestedAt, this.clock.now())
    if (rejectionsPerS === undefined) return
    this.scheduler?.send(createAsk(state.number, encodeBrittleness(server, rejectionsPerS)))
  }

  private reportLeaving (server: BackendServer): void {
    this.statedLimits.recordLeaving(server, this.clock.now())
    this.scheduler?.send(createAsk(0, encodeLeaving(server)))
  }

  private reportEnded (state: JobState, outcome: Outcome, stepMs = 0): void {
    if (!this.jobs.delete(state.number) || state.server === undefined) return
    this.scheduler?.send(createAsk(state.number, { case: 'ended', value: { server: state.server, outcome, stepMs } }))
  }

  private withdraw (state: JobState): void {
    if (state.server !== undefined || !this.jobs.delete(state.number)) return
    this.scheduler?.send(createAsk(state.number, { case: 'withdraw', value: { service: state.job.service } }))
  }

  /** Counts the job. Returns false if it is a retry that would exceed the retry budget of this host. */
  private checkRetryBudget (job: Omit<Job, 'id'>, now: number): boolean {
    let budget = this.retryBudgets.get(job.service)
    if (budget === undefined) {
      budget = new RetryBudget(this.retryLimits, HOST_BUDGET_SHARE)
      this.retryBudgets.set(job.service, budget)
    }
    if (job.isRetry) return budget.take(this.retrySlackShare, now)
    if (!job.isCharged) budget.recordFirstSend(now)
    return true
  }

  private recordQuotaBalance (organisation: string | undefined, balance: number | undefined): void {
    if (organisation === undefined || balance === undefined) return
    this.quotaBalances.set(organisation, { balance, at: this.clock.now() })
  }

  /** Releases a slot that was granted before the scheduler learned that the request had been withdrawn. */
  private releaseLateGrant (reply: Reply): void {
    if (reply.body.case !== 'grant') return
    const { server } = reply.body.value
    this.scheduler?.send(createAsk(reply.job, { case: 'ended', value: { server, outcome: 'cancelled', stepMs: 0 } }))
  }
}
