import { LOWEST_TIER } from '../config/index.js'
import type { Effect, Forecast } from './effect.js'
import { type Job, Reason } from './job.js'
import { Limit } from './limit.js'
import { Line } from './line.js'
import { Pace } from './pace.js'
import { type Run, yieldsBefore } from './run.js'

const GREATEST_QUEUE = 4_096
const LEAST_RETRY_MS = 1_000
/** A first token is late past this many times the expected time, and a margin in milliseconds. */
const LATE_FACTOR = 2
const LATE_MS = 150
/** A waiting job takes a lower tier's place once less than this share of its start target is left. */
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
  /** Expected service time of the waiting jobs of each tier, in milliseconds. */
  private readonly waitingMs = new Array<number>(LOWEST_TIER + 1).fill(0)
  private readonly expected = new Map<string, number>()
  private readonly yielding = new Set<string>()
  private ended = 0
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
    return { accepts, waitMs, yields: this.hasLower(job.tier) }
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
    if (!forecast.accepts) {
      const reason = this.waiting < GREATEST_QUEUE ? Reason.late : Reason.full
      return [{ effect: 'refuse', job, reason, retryAfterMs: this.retryAfterMs(job, forecast.waitMs) }]
    }
    const workMs = this.pace.serviceMs(job)
    this.expected.set(job.id, workMs)
    this.waitingMs[job.tier]! += workMs
    this.lines[job.tier]!.push(job)
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
      this.ended++
      this.yielding.delete(id)
      return this.next(now)
    }
    for (const line of this.lines) {
      const job = line.remove(id)
      if (job !== undefined) this.forget(job)
    }
    return []
  }

  /**
   * Takes out all waiting jobs.
   *
   * @returns the jobs
   */
  clear (): Job[] {
    const jobs = this.lines.flatMap(line => [...line.values()])
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
      this.limit.learn(tookMs / tokens, this.waiting > 0, now)
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
      if (!this.meets(job, 0, now)) {
        this.take(job)
        const retryAfterMs = this.retryAfterMs(job, this.waitMs(job, now))
        effects.push({ effect: 'refuse', job, reason: Reason.late, retryAfterMs })
      } else if (this.runs.size < this.limit.jobs) {
        this.take(job)
        this.runs.set(job.id, { job, startedAt: now, tokenAt: now, tokens: 0, endedBefore: this.ended })
        effects.push({ effect: 'dispatch', job })
      } else {
        const victim = this.victimFor(job, now)
        if (victim === undefined) break
        this.yielding.add(victim.id)
        effects.push({ effect: 'yield', job: victim })
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

  /** A first token that was late and came after another job ended had waited inside the server. */
  private learnFirst (run: Run, tookMs: number, now: number): void {
    const isLate = tookMs > LATE_FACTOR * this.pace.startMs(run.job) + LATE_MS
    if (!isLate || run.endedBefore === this.ended) {
      this.pace.learnFirst(run.job.promptTokens, tookMs)
      return
    }
    let producing = 0
    for (const each of this.runs.values()) if (each.tokens > 0) producing++
    this.limit.full(producing, now)
  }

  private head (): Job | undefined {
    for (const line of this.lines) if (line.size > 0) return line.peek()
    return undefined
  }

  private take (job: Job): void {
    this.lines[job.tier]!.pop(each => this.expected.get(each.id) ?? 0)
    this.forget(job)
  }

  private forget (job: Job): void {
    this.waitingMs[job.tier]! -= this.expected.get(job.id) ?? 0
    this.expected.delete(job.id)
    if (this.lines[job.tier]!.size === 0) this.waitingMs[job.tier] = 0
  }

  private meets (job: Job, waitMs: number, now: number): boolean {
    const startAt = now + waitMs + this.pace.startMs(job)
    const finishAt = now + waitMs + this.pace.serviceMs(job)
    return startAt <= job.startBy && finishAt <= job.finishBy
  }

  /** Time until a job of this tier would be dispatched. Lower tiers do not count: they yield. */
  private waitMs (job: Job, now: number): number {
    let ahead = 0
    for (let tier = 1; tier <= job.tier; tier++) ahead += this.waitingMs[tier]!
    let places = this.limit.jobs
    let soonest = Infinity
    for (const run of this.runs.values()) {
      if (run.job.tier > job.tier) continue
      places--
      soonest = Math.min(soonest, this.remainingMs(run, now))
    }
    if (ahead === 0 && places > 0) return 0
    return ahead / this.limit.jobs + (places > 0 ? 0 : soonest)
  }

  private remainingMs (run: Run, now: number): number {
    const expectedMs = this.pace.serviceMs(run.job)
    return Math.max(expectedMs - (now - run.startedAt), this.pace.gapMs)
  }

  private retryAfterMs (job: Job, waitMs: number): number {
    const spareMs = job.startBy - job.arrived - this.pace.startMs(job)
    return Math.max(LEAST_RETRY_MS, Math.ceil(waitMs - spareMs))
  }

  private hasLower (tier: number): boolean {
    for (let lower = tier + 1; lower <= LOWEST_TIER; lower++) if (this.lines[lower]!.size > 0) return true
    for (const run of this.runs.values()) if (run.job.tier > tier) return true
    return false
  }

  private victimFor (job: Job, now: number): Job | undefined {
    const left = job.startBy - now - this.pace.startMs(job)
    if (left > (job.startBy - job.arrived) * YIELD_SHARE) return undefined
    let victim: Run | undefined
    for (const run of this.runs.values()) {
      if (run.job.tier <= job.tier) continue
      if (this.yielding.has(run.job.id)) return undefined
      if (victim === undefined || yieldsBefore(run, victim)) victim = run
    }
    return victim?.job
  }
}
