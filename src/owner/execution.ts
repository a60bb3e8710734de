import { type Failure } from '../base/index.js'
import type { BackendServer } from '../config/index.js'
import type { EngineFailure, StreamEvent } from '../engine/index.js'
import type { CoordinatorReply, DispatchLocation, RecordOperation } from '../record/index.js'
import type { Health } from './health.js'
import type { RecentPrefixes } from './prefixes.js'
import { ResponseReader } from './reader.js'
import { Outcome, type RequestResult, requestResult } from './result.js'
import type { DispatchContext } from './context.js'
import { Stage, type TrackedRequest } from './request.js'

/** How long a grant is requested from an unavailable key coordinator, in milliseconds. */
const GRANT_TIMEOUT_MS = 8_000
const GRANT_RETRY_DELAY_MS = 250

/** State that an execution updates, and the callback for its progress. */
export interface ExecutionHooks {
  readonly health: Health
  readonly prefixes: RecentPrefixes
  /** Called with the number of tokens in each event that has any. */
  readonly onTokens: (request: TrackedRequest, tokens: number) => void
}

/** Runs one request, from its removal from the queue to the end of the engine's response. */
export class Execution {
  /**
   * @param context - dependencies shared by all dispatchers
   * @param server - the server that runs the request
   * @param hooks - updated and called while a request runs
   */
  constructor (
    private readonly context: DispatchContext,
    private readonly server: BackendServer,
    private readonly hooks: ExecutionHooks
  ) {}

  /**
   * Requests a grant from the key coordinator, dispatches the request to the engine and reads the response.
   *
   * @param request - the request
   * @returns the result of the request
   */
  async run (request: TrackedRequest): Promise<RequestResult> {
    request.stage = Stage.awaitingGrant
    const location: DispatchLocation = {
      server: this.server.name, responseId: request.job.id, attempt: request.submission.attempt
    }
    const reply = await this.requestGrant(request, location)
    if (reply.status !== 'done') return toResult(reply)
    if (request.cancellation === undefined) return await this.execute(request, location)
    await this.withdrawGrant(request, location)
    return requestResult(Outcome.notRun, request.cancellation.reason)
  }

  /** Asks the key coordinator for a grant until it replies, the request is cancelled or the time-out has passed. */
  private async requestGrant (request: TrackedRequest, location: DispatchLocation): Promise<CoordinatorReply> {
    const { key, fingerprint } = request.submission
    const operation: RecordOperation = { kind: 'begin', key, fingerprint, place: location }
    const deadline = this.now() + GRANT_TIMEOUT_MS
    for (;;) {
      const reply = await this.context.coordinators.applyStep(operation)
      if (reply.status !== 'unavailable') return reply
      if (this.now() >= deadline || request.cancellation !== undefined) {
        await this.withdrawGrant(request, location)
        return reply
      }
      await this.context.clock.sleep(GRANT_RETRY_DELAY_MS)
    }
  }

  /** Withdraws the grant, if one was given, for a request that is not dispatched. */
  private async withdrawGrant (request: TrackedRequest, location: DispatchLocation): Promise<void> {
    const { key, fingerprint } = request.submission
    await this.context.coordinators.applyStep({ kind: 'withdraw', key, fingerprint, place: location })
  }

  private async execute (request: TrackedRequest, location: DispatchLocation): Promise<RequestResult> {
    const source = { address: this.server.address, responseId: request.job.id }
    request.stage = Stage.running
    request.reader = new ResponseReader(this.context.client, source, -1, this.context.clock)
    this.hooks.health.recordDispatch(this.now())
    const body = await this.context.client.create(this.server.address, engineRequestBody(request))
    if (body.isErr() && (body.error.code === 'refused' || body.error.code === 'invalid')) {
      return await this.handleRejection(request, location, body.error)
    }
    this.hooks.prefixes.recordPrefix(request.submission.prefix, request.submission.prefixTokens)
    request.response.markDispatched()
    const read = await request.reader.read(body, event => this.handleEvent(request, event))
    return read.isOk() ? this.handleSuccess(request) : await this.handleFailure(request, read.error)
  }

  /** Handles a request that the engine did not run: it refused the connection or found the request invalid. */
  private async handleRejection (
    request: TrackedRequest, location: DispatchLocation, failure: EngineFailure
  ): Promise<RequestResult> {
    await this.withdrawGrant(request, location)
    if (failure.code === 'invalid') {
      this.hooks.health.recordSuccess()
      return { ...requestResult(Outcome.notRun, 'invalid'), detail: failure.message }
    }
    this.hooks.health.recordFailure(this.now())
    this.logFailure(request, failure)
    return requestResult(Outcome.notRun, 'refused')
  }

  private handleEvent (request: TrackedRequest, event: StreamEvent): void {
    request.response.append(event.bytes)
    if (event.outputTokens > 0) {
      this.hooks.onTokens(request, event.outputTokens)
      request.outputTokens += event.outputTokens
    }
    if (event.totalOutputTokens !== undefined) request.outputTokens = event.totalOutputTokens
  }

  private handleSuccess (request: TrackedRequest): RequestResult {
    this.hooks.health.recordSuccess()
    this.context.outputLengths.record(request.job.className, request.job.organisation, request.outputTokens)
    return requestResult(Outcome.answered, 'answered')
  }

  private async handleFailure (request: TrackedRequest, failure: EngineFailure): Promise<RequestResult> {
    if (request.cancellation !== undefined) return request.cancellation
    this.hooks.health.recordFailure(this.now())
    this.logFailure(request, failure)
    // A server that accepted the request and now refuses connections has crashed. The other hosts are notified before
    // the caller gets the result, since the caller may send the request again at once, to any of them.
    if (failure.code === 'refused') await this.context.reportCrash(request.submission.fingerprint, this.server.name)
    return requestResult(Outcome.unknown, failure.code)
  }

  private logFailure (request: TrackedRequest, failure: Failure): void {
    const fields = { requestId: request.submission.requestId, server: this.server.name, code: failure.code }
    this.context.log.warn(fields, failure.message)
  }

  private now (): number {
    return this.context.clock.now()
  }
}

function engineRequestBody (request: TrackedRequest): string {
  const body = JSON.parse(request.submission.body) as Record<string, unknown>
  return JSON.stringify({ ...body, stream: true, request_id: request.job.id })
}

function toResult (reply: CoordinatorReply): RequestResult {
  switch (reply.status) {
    case 'dispatched': return { ...requestResult(Outcome.elsewhere, 'elsewhere'), place: reply.place }
    case 'lost': return requestResult(Outcome.unknown, 'lost')
    case 'unavailable': return requestResult(Outcome.notRun, 'home-unavailable')
    default: return requestResult(Outcome.notRun, reply.status)
  }
}
