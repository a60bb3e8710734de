import { type Failure } from '../base/index.js'
import type { BackendServer } from '../config/index.js'
import type { EngineFailure, StreamEvent } from '../engine/index.js'
import type { Place, Answer as Ruling, Step } from '../record/index.js'
import type { Health } from './health.js'
import type { RecentPrefixes } from './prefixes.js'
import { ResponseReader } from './reader.js'
import { type Ending, ending, Outcome } from './result.js'
import type { Tools } from './tools.js'
import { Stage, type Work } from './work.js'

/** Time within which the key coordinator has to grant a dispatch, in milliseconds. */
const GRANT_TIMEOUT_MS = 8_000
const GRANT_RETRY_DELAY_MS = 250

/** State that an execution updates, and the callback for its progress. */
export interface ExecutionHooks {
  readonly health: Health
  readonly prefixes: RecentPrefixes
  /** Called with the number of tokens in each event that has any. */
  readonly onTokens: (request: Work, tokens: number) => void
}

/** Runs one request, from its removal from the queue until the engine's response is finished. */
export class Execution {
  /**
   * @param context - dependencies shared by all dispatchers
   * @param server - the server that runs the request
   * @param hooks - updated and called while a request runs
   */
  constructor (
    private readonly context: Tools, private readonly server: BackendServer, private readonly hooks: ExecutionHooks
  ) {}

  /**
   * Requests a grant from the key coordinator, dispatches the request to the engine and reads the response.
   *
   * @param request - the request
   * @returns the result of the request
   */
  async run (request: Work): Promise<Ending> {
    request.stage = Stage.awaitingGrant
    const place: Place = {
      server: this.server.name, responseId: request.job.id, attempt: request.submission.attempt
    }
    const ruling = await this.requestGrant(request, place)
    if (ruling.ruling !== 'done') return toResult(ruling)
    if (request.cancellation === undefined) return await this.execute(request, place)
    await this.withdrawGrant(request, place)
    return ending(Outcome.notRun, request.cancellation.reason)
  }

  /** Asks the key coordinator for a grant until it gives a ruling, the request is cancelled or the time is up. */
  private async requestGrant (request: Work, place: Place): Promise<Ruling> {
    const { key, fingerprint } = request.submission
    const step: Step = { step: 'begin', key, fingerprint, place }
    const deadline = this.now() + GRANT_TIMEOUT_MS
    for (;;) {
      const ruling = await this.context.homes.take(step)
      if (ruling.ruling !== 'unavailable') return ruling
      if (this.now() >= deadline || request.cancellation !== undefined) {
        await this.withdrawGrant(request, place)
        return ruling
      }
      await this.context.clock.sleep(GRANT_RETRY_DELAY_MS)
    }
  }

  /** Withdraws the grant, if one was given, since the dispatch does not take place. */
  private async withdrawGrant (request: Work, place: Place): Promise<void> {
    const { key, fingerprint } = request.submission
    await this.context.homes.take({ step: 'withdraw', key, fingerprint, place })
  }

  private async execute (request: Work, place: Place): Promise<Ending> {
    const source = { address: this.server.address, responseId: request.job.id }
    request.stage = Stage.running
    request.reader = new ResponseReader(this.context.client, source, -1, this.context.clock)
    this.hooks.health.sent(this.now())
    const body = await this.context.client.create(this.server.address, engineRequestBody(request))
    if (body.isErr() && (body.error.code === 'refused' || body.error.code === 'invalid')) {
      return await this.handleRejection(request, place, body.error)
    }
    this.hooks.prefixes.note(request.submission.prefix, request.submission.prefixTokens)
    request.answer.begin()
    const read = await request.reader.read(body, event => this.handleEvent(request, event))
    return read.isOk() ? this.handleSuccess(request) : await this.handleFailure(request, read.error)
  }

  /** Handles a request that the engine did not run: it refused the connection or found the request invalid. */
  private async handleRejection (request: Work, place: Place, failure: EngineFailure): Promise<Ending> {
    await this.withdrawGrant(request, place)
    if (failure.code === 'invalid') {
      this.hooks.health.succeeded()
      return { ...ending(Outcome.notRun, 'invalid'), detail: failure.message }
    }
    this.hooks.health.failed(this.now())
    this.logFailure(request, failure)
    return ending(Outcome.notRun, 'refused')
  }

  private handleEvent (request: Work, event: StreamEvent): void {
    request.answer.append(event.bytes)
    if (event.tokens > 0) {
      this.hooks.onTokens(request, event.tokens)
      request.outputTokens += event.tokens
    }
    if (event.totalTokens !== undefined) request.outputTokens = event.totalTokens
  }

  private handleSuccess (request: Work): Ending {
    this.hooks.health.succeeded()
    this.context.lengths.record(request.job.className, request.job.organisation, request.outputTokens)
    return ending(Outcome.answered, 'answered')
  }

  private async handleFailure (request: Work, failure: EngineFailure): Promise<Ending> {
    if (request.cancellation !== undefined) return request.cancellation
    this.hooks.health.failed(this.now())
    this.logFailure(request, failure)
    // A server that accepted the request and now refuses connections has crashed. The other hosts are notified before
    // the caller gets the result, since the caller may send the request again at once, to any of them.
    if (failure.code === 'refused') await this.context.onCrash(request.submission.fingerprint, this.server.name)
    return ending(Outcome.unknown, failure.code)
  }

  private logFailure (request: Work, failure: Failure): void {
    const fields = { requestId: request.submission.requestId, server: this.server.name, code: failure.code }
    this.context.log.warn(fields, failure.message)
  }

  private now (): number {
    return this.context.clock.now()
  }
}

function engineRequestBody (request: Work): string {
  const body = JSON.parse(request.submission.body) as Record<string, unknown>
  return JSON.stringify({ ...body, stream: true, request_id: request.job.id })
}

function toResult (ruling: Ruling): Ending {
  switch (ruling.ruling) {
    case 'dispatched': return { ...ending(Outcome.elsewhere, 'elsewhere'), place: ruling.place }
    case 'lost': return ending(Outcome.unknown, 'lost')
    case 'unavailable': return ending(Outcome.notRun, 'home-unavailable')
    default: return ending(Outcome.notRun, ruling.ruling)
  }
}
