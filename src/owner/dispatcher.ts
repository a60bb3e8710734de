import { Admission, type Effect, type Forecast, type Job, Reason } from '../admission/index.js'
import type { BackendServer } from '../config/index.js'
import { Metric } from '../metrics/index.js'
import { Answer } from './buffer.js'
import { type Ending, ending, Outcome } from './result.js'
import { Execution } from './execution.js'
import { Health } from './health.js'
import { Prefixes } from './prefixes.js'
import type { Demand, Submission } from './submission.js'
import type { Tools } from './tools.js'
import { Stage, type Work } from './work.js'

/** How long an answer runs on without a reader if its caller may send again, in milliseconds. */
const ABANDON_MS = 10_000

/** Serves one backend server: queue, limit, health and the requests in flight. */
export class Dispatcher {
  private readonly admission = new Admission()
  private readonly health = new Health()
  private readonly prefixes = new Prefixes()
  private readonly works = new Map<string, Work>()
  private timer: NodeJS.Timeout | undefined
  private draining = false

  /**
   * @param server - the server as configured
   * @param tools - shared by all dispatchers
   */
  constructor (private server: BackendServer, private readonly tools: Tools) {}

  /** How many requests wait or run. */
  get load (): number {
    return this.works.size
  }

  /** The state for people to read. */
  get state (): object {
    return {
      server: this.server.name,
      draining: this.draining,
      waiting: this.admission.waiting,
      running: this.admission.running.size,
      limit: this.admission.limit.jobs,
      gapMs: this.admission.pace.gapMs,
      prefillMs: this.admission.pace.prefillMs,
      failures: this.health.streak,
      work: [...this.works.values()].map(work => ({
        requestId: work.submission.requestId,
        className: work.job.className,
        tier: work.job.tier,
        stage: work.stage,
        tokens: work.tokens
      }))
    }
  }

  /** Sends how many jobs wait and run, and the limit. */
  report (): void {
    const tags = { server: this.server.name }
    this.tools.metrics.gauge(Metric.queue, this.admission.waiting, tags)
    this.tools.metrics.gauge(Metric.running, this.admission.running.size, tags)
    this.tools.metrics.gauge(Metric.limit, this.admission.limit.jobs, tags)
  }

  /** @param server - the server as configured from now on */
  update (server: BackendServer): void {
    this.server = server
  }

  /** Stops taking work. What waits is ended as not run, what runs goes on. */
  drain (): void {
    if (this.draining) return
    this.draining = true
    for (const job of this.admission.clear()) this.refuse(job.id, Reason.draining, 0)
  }

  /** Takes work again. */
  resume (): void {
    this.draining = false
  }

  /**
   * Tells how a request would fare here.
   *
   * @param demand - the request
   * @param now - the present time, in milliseconds since the epoch
   * @returns the forecast
   */
  forecast (demand: Demand, now: number): Forecast {
    const forecast = this.admission.forecast(this.toJob('', demand, now), now)
    return { ...forecast, accepts: forecast.accepts && !this.draining && this.health.admits(now) }
  }

  /**
   * Takes a request.
   *
   * @param submission - the request
   * @param now - the present time, in milliseconds since the epoch
   * @returns its answer, which may have ended already
   */
  submit (submission: Submission, now: number): Answer {
    const responseId = this.tools.responseId(this.server.name, submission.organisation)
    const answer = new Answer(responseId, 0, () => this.onIdle(responseId))
    const job = this.toJob(responseId, submission, submission.arrived)
    const work: Work = {
      submission, job, answer, stage: Stage.waiting, reader: undefined, cancelled: undefined, tokens: 0
    }
    this.works.set(responseId, work)
    if (this.draining) this.refuse(responseId, Reason.draining, 0)
    else if (!this.health.admits(now)) this.refuse(responseId, Reason.unhealthy, 0)
    else this.carryOut(this.admission.push(job, now))
    return answer
  }

  /**
   * @param responseId - a response
   * @returns its answer if it is being given here
   */
  find (responseId: string): Answer | undefined {
    return this.works.get(responseId)?.answer
  }

  /**
   * Cancels a request that waits or runs here.
   *
   * @param responseId - the response
   * @param how - how its answer ends
   */
  cancel (responseId: string, how: Ending): void {
    const work = this.works.get(responseId)
    if (work === undefined || work.cancelled !== undefined) return
    if (work.stage === Stage.waiting) {
      this.carryOut(this.admission.remove(responseId, this.now()))
      this.end(work, ending(Outcome.notRun, how.reason))
      return
    }
    work.cancelled = how
    if (work.stage !== Stage.running) return
    work.reader?.stop()
    this.end(work, how)
    void this.tools.client.cancel(this.server.address, responseId)
  }

  /** Ends waiting; running work is left to the engines. */
  close (): void {
    clearTimeout(this.timer)
  }

  private now (): number {
    return this.tools.clock.now()
  }

  private toJob (id: string, demand: Demand, arrived: number): Job {
    const { workClass, organisation } = demand
    return {
      id,
      tier: workClass.tier,
      yields: workClass.yields,
      organisation,
      className: workClass.name,
      arrived,
      startBy: arrived + workClass.startWithinMs,
      finishBy: arrived + workClass.finishWithinMs,
      promptTokens: Math.max(1, demand.promptTokens - this.prefixes.cached(demand.prefix)),
      outputTokens: Math.min(demand.outputLimit, this.tools.lengths.expect(workClass.name, organisation))
    }
  }

  private carryOut (effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.effect === 'refuse') this.refuse(effect.job.id, effect.reason, effect.retryAfterMs)
      else if (effect.effect === 'yield') this.cancel(effect.job.id, ending(Outcome.yielded, 'yielded'))
      else void this.dispatch(this.works.get(effect.job.id)!)
    }
    this.schedule()
  }

  private schedule (): void {
    clearTimeout(this.timer)
    const now = this.now()
    const at = this.admission.wakeAt(now)
    if (at === undefined) return
    this.timer = setTimeout(() => this.carryOut(this.admission.next(this.now())), at - now)
  }

  private refuse (responseId: string, reason: Reason, retryAfterMs: number): void {
    const work = this.works.get(responseId)
    if (work !== undefined) this.end(work, ending(Outcome.notRun, reason, retryAfterMs))
  }

  private async dispatch (work: Work): Promise<void> {
    const execution = new Execution(this.tools, this.server, {
      health: this.health,
      prefixes: this.prefixes,
      onTokens: (each, tokens) => this.admission.progress(each.job.id, tokens, this.now())
    })
    const how = await execution.run(work)
    this.end(work, how)
    this.release(work.job.id)
  }

  private end (work: Work, how: Ending): void {
    if (work.stage === Stage.ended) return
    const wasted = work.stage === Stage.running && how.outcome !== Outcome.answered
    work.stage = Stage.ended
    work.answer.finish(how)
    this.works.delete(work.job.id)
    if (how.outcome === Outcome.answered) this.tools.answers.keep(work.answer, this.now())
    if (wasted) {
      this.tools.metrics.count(Metric.wastedPrefill, work.job.promptTokens, { tier: String(work.job.tier) })
    }
  }

  /** Gives the job's place to others. */
  private release (responseId: string): void {
    this.carryOut(this.admission.remove(responseId, this.now()))
  }

  private onIdle (responseId: string): void {
    const work = this.works.get(responseId)
    if (work === undefined) return
    const how = ending(Outcome.unknown, 'abandoned')
    if (work.stage === Stage.waiting || !work.submission.resendable) {
      this.cancel(responseId, how)
      return
    }
    setTimeout(() => {
      if (work.answer.readers === 0) this.cancel(responseId, how)
    }, ABANDON_MS).unref()
  }
}
