import { AdmissionController, type Effect, type Forecast, type Job, RefusalReason } from '../admission/index.js'
import type { BackendServer } from '../config/index.js'
import { Metric } from '../metrics/index.js'
import { ResponseBuffer } from './buffer.js'
import { Execution } from './execution.js'
import { Health } from './health.js'
import { RecentPrefixes } from './prefixes.js'
import { Outcome, type RequestResult, requestResult } from './result.js'
import type { Demand, Submission } from './submission.js'
import type { DispatchContext } from './context.js'
import { Stage, type TrackedRequest } from './request.js'

/**
 * Time after which a request that has left the queue and has no readers is
 * cancelled, if its caller may retry it, in milliseconds. Other requests
 * without readers are cancelled at once.
 */
const ABANDON_TIMEOUT_MS = 10_000

/** Dispatches requests to one backend server: holds its queue, concurrency limit, health and requests in flight. */
export class Dispatcher {
  private readonly admission = new AdmissionController()
  private readonly health = new Health()
  private readonly recentPrefixes = new RecentPrefixes()
  private readonly requests = new Map<string, TrackedRequest>()
  private wakeTimer: NodeJS.Timeout | undefined
  private isDraining = false

  /**
   * @param server - configuration of the server
   * @param context - dependencies shared by all dispatchers
   */
  constructor (private server: BackendServer, private readonly context: DispatchContext) {}

  /** Number of waiting and running requests. */
  get load (): number {
    return this.requests.size
  }

  /** The state for the operator's dump. */
  get state (): object {
    return {
      server: this.server.name,
      draining: this.isDraining,
      waiting: this.admission.queueLength,
      running: this.admission.running.size,
      limit: this.admission.limit.jobs,
      gapMs: this.admission.speedEstimate.tokenGapMs,
      prefillMs: this.admission.speedEstimate.prefillMsPerToken,
      failures: this.health.consecutiveFailures,
      work: [...this.requests.values()].map(request => ({
        requestId: request.submission.requestId,
        className: request.job.className,
        tier: request.job.tier,
        stage: request.stage,
        tokens: request.outputTokens
      }))
    }
  }

  /** Reports the numbers of waiting and running jobs and the concurrency limit as metrics. */
  reportMetrics (): void {
    const tags = { server: this.server.name }
    this.context.metrics.gauge(Metric.queue, this.admission.queueLength, tags)
    this.context.metrics.gauge(Metric.running, this.admission.running.size, tags)
    this.context.metrics.gauge(Metric.limit, this.admission.limit.jobs, tags)
  }

  /** @param server - new configuration of the server */
  update (server: BackendServer): void {
    this.server = server
  }

  /** Stops accepting requests. Waiting requests end as not run, running ones continue. */
  drain (): void {
    if (this.isDraining) return
    this.isDraining = true
    for (const job of this.admission.clearQueue()) this.refuse(job.id, RefusalReason.draining, 0)
  }

  /** Accepts requests again. */
  resume (): void {
    this.isDraining = false
  }

  /**
   * Forecasts whether and when a request would be dispatched here.
   *
   * @param demand - the request
   * @param now - the current time, in milliseconds since the epoch
   * @returns the forecast
   */
  forecast (demand: Demand, now: number): Forecast {
    const forecast = this.admission.forecast(this.toJob('', demand, now), now)
    return { ...forecast, accepts: forecast.accepts && !this.isDraining && this.health.allowsRequest(now) }
  }

  /**
   * Accepts or refuses a request.
   *
   * @param submission - the request
   * @param now - the current time, in milliseconds since the epoch
   * @returns its response, which is finished already if the request is refused
   */
  submit (submission: Submission, now: number): ResponseBuffer {
    const responseId = this.context.createResponseId(this.server.name, submission.organisation)
    const response = new ResponseBuffer(responseId, 0, () => this.onReadersGone(responseId))
    const job = this.toJob(responseId, submission, submission.arrived)
    const request: TrackedRequest = {
      submission,
      job,
      response,
      stage: Stage.waiting,
      reader: undefined,
      cancellation: undefined,
      outputTokens: 0
    }
    this.requests.set(responseId, request)
    if (this.isDraining) this.refuse(responseId, RefusalReason.draining, 0)
    else if (!this.health.allowsRequest(now)) this.refuse(responseId, RefusalReason.unhealthy, 0)
    else this.applyEffects(this.admission.submit(job, now))
    return response
  }

  /**
   * @param responseId - id of a response
   * @returns the response, or undefined unless its request waits or runs here
   */
  findResponse (responseId: string): ResponseBuffer | undefined {
    return this.requests.get(responseId)?.response
  }

  /**
   * Cancels a request that waits or runs here.
   *
   * @param responseId - id of the response
   * @param result - the result if the request is running; if it is not yet dispatched, it ends as not run
   */
  cancel (responseId: string, result: RequestResult): void {
    const request = this.requests.get(responseId)
    if (request === undefined || request.cancellation !== undefined) return
    if (request.stage === Stage.waiting) {
      this.applyEffects(this.admission.remove(responseId, this.now()))
      this.finish(request, requestResult(Outcome.notRun, result.reason))
      return
    }
    request.cancellation = result
    if (request.stage !== Stage.running) return
    request.reader?.stop()
    this.finish(request, result)
    void this.context.client.cancel(this.server.address, responseId)
  }

  /** Stops the wake-up timer. Requests that run on engines are not cancelled. */
  close (): void {
    clearTimeout(this.wakeTimer)
  }

  private now (): number {
    return this.context.clock.now()
  }

  private toJob (id: string, demand: Demand, arrivedAt: number): Job {
    const { workClass, organisation } = demand
    return {
      id,
      tier: workClass.tier,
      preemptionOrder: workClass.yields,
      organisation,
      className: workClass.name,
      arrivedAt,
      startBy: arrivedAt + workClass.startWithinMs,
      finishBy: arrivedAt + workClass.finishWithinMs,
      promptTokens: Math.max(1, demand.promptTokens - this.recentPrefixes.cachedTokens(demand.prefix)),
      outputTokens: Math.min(demand.outputLimit, this.context.outputLengths.estimate(workClass.name, organisation))
    }
  }

  private applyEffects (effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.effect === 'refuse') this.refuse(effect.job.id, effect.reason, effect.retryAfterMs)
      else if (effect.effect === 'yield') this.cancel(effect.job.id, requestResult(Outcome.preempted, 'yielded'))
      else void this.dispatch(this.requests.get(effect.job.id)!)
    }
    this.scheduleWake()
  }

  private scheduleWake (): void {
    clearTimeout(this.wakeTimer)
    const now = this.now()
    const wakeTime = this.admission.wakeAt(now)
    if (wakeTime === undefined) return
    this.wakeTimer = setTimeout(() => this.applyEffects(this.admission.decide(this.now())), wakeTime - now)
  }

  private refuse (responseId: string, reason: RefusalReason, retryAfterMs: number): void {
    const request = this.requests.get(responseId)
    if (request !== undefined) this.finish(request, requestResult(Outcome.notRun, reason, retryAfterMs))
  }

  private async dispatch (request: TrackedRequest): Promise<void> {
    const execution = new Execution(this.context, this.server, {
      health: this.health,
      prefixes: this.recentPrefixes,
      onTokens: (running, tokens) => this.admission.recordTokens(running.job.id, tokens, this.now())
    })
    const result = await execution.run(request)
    this.finish(request, result)
    this.releaseSlot(request.job.id)
  }

  private finish (request: TrackedRequest, result: RequestResult): void {
    if (request.stage === Stage.ended) return
    const isWasted = request.stage === Stage.running && result.outcome !== Outcome.answered
    request.stage = Stage.ended
    request.response.finish(result)
    this.requests.delete(request.job.id)
    if (result.outcome === Outcome.answered) this.context.responseCache.add(request.response, this.now())
    if (isWasted) {
      this.context.metrics.count(Metric.wastedPrefill, request.job.promptTokens, { tier: String(request.job.tier) })
    }
  }

  /** Frees the job's slot for waiting jobs. */
  private releaseSlot (responseId: string): void {
    this.applyEffects(this.admission.remove(responseId, this.now()))
  }

  private onReadersGone (responseId: string): void {
    const request = this.requests.get(responseId)
    if (request === undefined) return
    const result = requestResult(Outcome.unknown, 'abandoned')
    if (request.stage === Stage.waiting || !request.submission.resendable) {
      this.cancel(responseId, result)
      return
    }
    setTimeout(() => {
      if (request.response.readerCount === 0) this.cancel(responseId, result)
    }, ABANDON_TIMEOUT_MS).unref()
  }
}
