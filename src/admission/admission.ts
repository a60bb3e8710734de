import { LOWEST_TIER, TOP_TIER } from '../config/index.js'
import type { Effect, Forecast } from './effect.js'
import { type Job, Reason } from './job.js'
import { Limit } from './limit.js'
import { Line } from './line.js'
import { Pace } from './pace.js'
import { Reserve } from './reserve.js'
import { type Run, yieldsBefore } from './run.js'

const GREATEST_QUEUE = 4_096
const LEAST_RETRY_MS = 1_000
/** A job is urgent once less than this share of its start target is left. */
const YIELD_SHARE = 0.5

/**
 * The order and the limit before one backend server. Serves tiers strictly,
 * within a tier by urgency and fairly between organisations; refuses at once
 * what would miss its target; lower tiers yield their places to higher ones.
 * It does nothing itself: it returns effects.
 */
export class Admission {
  private readonly lines = Array.from({ length: LOWEST_TIER + 1 }, () => new Line())
  private readonly runs = new Map<string, Run>()
  private readonly yielding = new Set<string>()
  private readonly reserve = new Reserve()
  readonly limit = new Limit()
  readonly pace = new Pace()

  /** Jobs that run, oldest first. */
  get running (): ReadonlyMap<string, Run> {
    return this.runs
  }

  /** How many jobs wait. */
  get waiting (): number {
    return this.lines.reduce((sum, line) => sum + line.size, 0)
  }

  /**
   * Tells how a job would fare, without taking it.
   *
   * @param job - the job
   * @param now - the present time, in milliseconds since the epoch
   * @returns the forecast
   */
  forecast (job: Job, now: number): Forecast {
    const waitMs = this.waitMs(job, now)
    const accepts = this.waiting < GREATEST_QUEUE && this.meets(job, waitMs, now)
    return { accepts, waitMs, yields: this.runsLower(job.tier) }
  }

  /**
   * Takes a job, or refuses it at once.
   *
   * @param job - the job
   * @param now - the present time, in milliseconds since the epoch
   * @returns what is to be done
   */
  push (job: Job, now: number): Effect[] {
    const forecast = this.forecast(job, now)
    if (!forecast.accepts && !this.mustServe(job)) {
      const reason = this.waiting < GREATEST_QUEUE ? Reason.late : Reason.full
      return [{ effect: 'refuse', job, reason, retryAfterMs: this.retryAfterMs(job, forecast.waitMs) }]
    }
    this.lines[job.tier]!.push(job, this.pace.serviceMs(job))
    return this.next(now)
  }

  /**
   * Takes a job out, whether it waits or runs.
   *
   * @param id - the job's id
   * @param now - the present time, in milliseconds since the epoch
   * @returns what is to be done
   */
  remove (id: string, now: number): Effect[] {
    const run = this.runs.get(id)
    if (run !== undefined) {
      this.runs.delete(id)
      this.yielding.delete(id)
      return this.next(now)
    }
    for (const line of this.lines) line.remove(id)
    return []
  }

  /**
   * Takes out all waiting jobs.
   *
   * @returns the jobs
   */
  clear (): Job[] {
    const jobs = this.lines.flatMap(line => line.values())
    for (const job of jobs) this.remove(job.id, job.arrived)
    return jobs
  }

  /**
   * Notes tokens of a running job and learns from their timing.
   *
   * @param id - the job's id
   * @param tokens - how many came
   * @param now - the present time, in milliseconds since the epoch
   */
  progress (id: string, tokens: number, now: number): void {
    const run = this.runs.get(id)
    if (run === undefined || tokens <= 0) return
    const tookMs = now - run.tokenAt
    if (run.tokens === 0) {
      this.learnFirst(run, tookMs, now)
    } else {
      this.pace.learnGap(tokens, tookMs)
      this.limit.learnGap(tookMs / tokens, this.waiting > 0, now)
    }
    run.tokenAt = now
    run.tokens += tokens
  }

  /**
   * Decides what is to be done at this time. Call it again by
   * {@link Admission.wakeAt}.
   *
   * @param now - the present time, in milliseconds since the epoch
   * @returns dispatches, refusals of jobs that can no longer meet their target, and yields
   */
  next (now: number): Effect[] {
    const effects: Effect[] = []
    for (let job = this.head(); job !== undefined; job = this.head()) {
      if (!this.meets(job, 0, now) && !this.mustServe(job)) {
        this.lines[job.tier]!.pop()
        const retryAfterMs = this.retryAfterMs(job, this.waitMs(job, now))
        effects.push({ effect: 'refuse', job, reason: Reason.late, retryAfterMs })
      } else if (this.hasPlace(job, now)) {
        this.lines[job.tier]!.pop()
        this.runs.set(job.id, { job, startedAt: now, tokenAt: now, tokens: 0 })
        effects.push({ effect: 'dispatch', job })
      } else {
        effects.push(...this.yieldFor(job, now))
        break
      }
    }
    return effects
  }

  /**
   * @param now - the present time, in milliseconds since the epoch
   * @returns when to decide again if nothing happens until then, or undefined if nothing waits
   */
  wakeAt (now: number): number | undefined {
    const job = this.head()
    if (job === undefined) return undefined
    const yieldAt = job.startBy - (job.startBy - job.arrived) * YIELD_SHARE
    return now < yieldAt ? yieldAt : Math.max(job.startBy, now + 1)
  }

  private learnFirst (run: Run, tookMs: number, now: number): void {
    const waitMs = Math.max(0, tookMs - this.pace.startMs(run.job))
    this.pace.learnFirst(run.job.promptTokens, tookMs)
    this.limit.learnWait(waitMs, this.waiting > 0, now)
  }

  /** How many jobs may run if the next one is of this tier. */
  private placesFor (tier: number, now: number): number {
    return Math.max(1, this.limit.jobs - this.reserve.for(tier, this.limit.jobs, now))
  }

  private hasPlace (job: Job, now: number): boolean {
    if (this.runs.size < this.placesFor(job.tier, now)) return true
    return this.isUrgent(job, now) && this.limit.stretch(now)
  }

  private head (): Job | undefined {
    for (const line of this.lines) if (line.size > 0) return line.peek()
    return undefined
  }

  private meets (job: Job, waitMs: number, now: number): boolean {
    const startAt = now + waitMs + this.limit.waitMs + this.pace.startMs(job)
    const finishAt = now + waitMs + this.limit.waitMs + this.pace.serviceMs(job)
    return startAt <= job.startBy && finishAt <= job.finishBy
  }

  /** Time until a job of this tier would be dispatched. Lower tiers do not count: they yield. */
  private waitMs (job: Job, now: number): number {
    let { jobs: ahead, workMs: aheadMs } = this.lines[job.tier]!.ahead(job.organisation, this.pace.serviceMs(job))
    for (let tier = TOP_TIER; tier < job.tier; tier++) {
      const { jobs, workMs } = this.lines[tier]!.all
      ahead += jobs
      aheadMs += workMs
    }
    let places = this.placesFor(job.tier, now)
    let soonest = Infinity
    for (const run of this.runs.values()) {
      if (run.job.tier > job.tier) continue
      places--
      soonest = Math.min(soonest, this.remainingMs(run, now))
    }
    if (ahead < places) return 0
    return aheadMs / this.limit.jobs + (places > 0 ? 0 : soonest)
  }

  private remainingMs (run: Run, now: number): number {
    const expectedMs = this.pace.serviceMs(run.job)
    return Math.max(expectedMs - (now - run.startedAt), this.pace.gapMs)
  }

  private retryAfterMs (job: Job, waitMs: number): number {
    const spareMs = job.startBy - job.arrived - this.pace.startMs(job)
    return Math.max(LEAST_RETRY_MS, Math.ceil(waitMs - spareMs))
  }

  /** The top tier is served, late if need be, while work of a lower tier runs here: that yields first. */
  private mustServe (job: Job): boolean {
    return job.tier === TOP_TIER && this.waiting < GREATEST_QUEUE && this.runsLower(job.tier)
  }

  private runsLower (tier: number): boolean {
    for (const run of this.runs.values()) if (run.job.tier > tier && !this.yielding.has(run.job.id)) return true
    return false
  }

  private isUrgent (job: Job, now: number): boolean {
    const leftMs = job.startBy - now - this.pace.startMs(job)
    return leftMs <= (job.startBy - job.arrived) * YIELD_SHARE
  }

  /** Running jobs of lower tiers that are to make room for the waiting jobs of this one's tier and above. */
  private yieldFor (job: Job, now: number): Effect[] {
    if (!this.isUrgent(job, now)) return []
    let wanted = -this.yielding.size
    for (let tier = 1; tier <= job.tier; tier++) wanted += this.lines[tier]!.size
    const lower = [...this.runs.values()].filter(run => run.job.tier > job.tier && !this.yielding.has(run.job.id))
    const victims = lower.sort((a, b) => yieldsBefore(a, b) ? -1 : 1).slice(0, Math.max(0, wanted))
    return victims.map(({ job: victim }) => {
      this.yielding.add(victim.id)
      this.reserve.learn(victim.tier, this.limit.jobs, now)
      return { effect: 'yield', job: victim }
    })
  }
}
