import { runSafely } from '../base/index.js'
import type { JobHandle, Placement } from '../dispatch/index.js'
import { Outcome, Refusal } from '../schedule/index.js'
import type { CallerRequest } from './callerrequest.js'
import type { ForwardContext } from './context.js'
import { buildJob } from './slotrequest.js'

/** Time between two requests for a slot at another server while a server is silent, in milliseconds. */
const ALTERNATIVE_INTERVAL_MS = 1_000

/** Time until a slot is requested again for a response that was begun, in milliseconds. */
const RESUME_INTERVAL_MS = 250

/** How many further slots an attempt requests because the granted server is no longer usable. */
const MAX_REGRANTS = 8

/** Receives the results of an attempt's slot requests. */
export interface SlotListener {
  /**
   * Called with the result of the current request.
   *
   * @param placement - the granted server, or why none was granted
   */
  onPlacement (placement: Placement): void

  /**
   * Called if a server was granted in place of a silent one.
   *
   * @param server - id of the granted server
   * @param job - the granted slot
   * @returns whether the attempt leaves the silent server for it; otherwise the slot is released
   */
  onAlternative (server: string, job: JobHandle): boolean

  /** Called if the handling of a result failed, which was logged. */
  onError (): void
}

/** The slots that one attempt requests and holds. */
export class Slots {
  /** Ids of the servers that may not be granted again. */
  readonly excludedServers: string[] = []
  /** Whether the request was charged to the organisation's quota already. */
  private isCharged = false
  /** The slot in use, or the request for it. */
  private current: JobHandle | undefined
  /** Request for a slot at another server, made while the current server is silent; that one may still respond. */
  private alternative: JobHandle | undefined
  private nextAlternativeAt = 0
  /** When to request a slot again, monotonic milliseconds. */
  private resumeAt = Infinity
  private regrantCount = 0
  private isClosed = false

  /**
   * @param context - what the handling of requests depends on
   * @param request - the caller's request
   * @param service - name of the service that is to run it
   * @param listener - receives the results
   */
  constructor (
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    private readonly service: string,
    private readonly listener: SlotListener
  ) {}

  /** The slot in use, or the latest request for one. */
  get job (): JobHandle | undefined {
    return this.current
  }

  /**
   * Requests a slot, unless one was requested already because the previous server was silent. The request is refused at
   * once while all servers want none.
   *
   * @param isRetry - whether the request was sent to a server before
   */
  requestSlot (isRetry: boolean): void {
    const retryAfterMs = this.context.fleet.pauseLeftMs(this.service, this.context.clock.now())
    if (retryAfterMs > 0 && this.alternative === undefined) {
      this.current = undefined
      queueMicrotask(() => {
        if (!this.isClosed) this.listener.onPlacement({ kind: 'refused', reason: Refusal.paused, retryAfterMs })
      })
      return
    }
    this.current = this.alternative ?? this.submit(isRetry, [...this.excludedServers])
    this.alternative = undefined
  }

  /**
   * Returns the current slot, whose server is unusable, which the scheduler does not know yet.
   *
   * @param unusableServer - id of the server
   * @returns whether another slot may be requested
   */
  release (unusableServer: string): boolean {
    this.current?.reportEnded(Outcome.cancelled)
    this.excludedServers.push(unusableServer)
    this.regrantCount++
    return this.regrantCount <= MAX_REGRANTS
  }

  /**
   * Requests a slot at another server while the current one is silent, unless one was requested shortly before.
   *
   * @param silentServer - id of the current server
   * @param now - monotonic time, in milliseconds
   */
  requestAlternative (silentServer: string, now: number): void {
    if (this.alternative !== undefined || now < this.nextAlternativeAt) return
    this.nextAlternativeAt = now + ALTERNATIVE_INTERVAL_MS
    this.alternative = this.submit(true, [...this.excludedServers, silentServer])
  }

  /**
   * Requests a slot again after a while, for a response that was begun.
   *
   * @param now - monotonic time, in milliseconds
   */
  requestSlotLater (now: number): void {
    this.resumeAt = now + RESUME_INTERVAL_MS
  }

  /** @param now - monotonic time, in milliseconds */
  tick (now: number): void {
    if (now < this.resumeAt) return
    this.resumeAt = Infinity
    this.requestSlot(true)
  }

  /** Withdraws the requests that are not granted yet. No more results are reported. */
  close (): void {
    this.isClosed = true
    this.current?.withdraw()
    this.alternative?.withdraw()
  }

  private submit (isRetry: boolean, excludedServers: readonly string[]): JobHandle {
    const { context, request, service, isCharged } = this
    const slotRequest = { service, excludedServers, isRetry, isCharged }
    const job: JobHandle = context.dispatcher.request(buildJob(context, request, slotRequest),
      placement => queueMicrotask(() => this.handleSafely(job, placement)))
    return job
  }

  private handleSafely (job: JobHandle, placement: Placement): void {
    const record = { event: 'placement-failed', attempt: this.request.attemptId, placement }
    if (!runSafely(this.context.log, record, () => this.handlePlacement(job, placement))) this.listener.onError()
  }

  private handlePlacement (job: JobHandle, placement: Placement): void {
    if (this.isClosed) job.reportEnded(Outcome.cancelled)
    else if (job !== this.alternative) {
      if (placement.kind !== 'refused') this.isCharged = true
      this.listener.onPlacement(placement)
    } else {
      this.alternative = undefined
      if (placement.kind === 'refused') return
      if (this.listener.onAlternative(placement.server, job)) this.current = job
      else job.reportEnded(Outcome.cancelled)
    }
  }
}
