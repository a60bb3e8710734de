import { type Failure } from '../base/index.js'
import type { BackendServer } from '../config/index.js'
import type { EngineFailure, StreamEvent } from '../engine/index.js'
import type { Place, Answer as Ruling, Step } from '../record/index.js'
import { type Ending, ending, Outcome } from './result.js'
import type { Health } from './health.js'
import type { Prefixes } from './prefixes.js'
import { Reader } from './reader.js'
import type { Tools } from './tools.js'
import { Stage, type Work } from './work.js'

/** How long the home may take to grant a dispatch, in milliseconds. */
const BEGIN_TIMEOUT_MS = 8_000
const BEGIN_PAUSE_MS = 250

/** What an execution tells about its server and its progress. */
export interface Hooks {
  readonly health: Health
  readonly prefixes: Prefixes
  /** Called for each token or group of tokens. */
  readonly onTokens: (work: Work, tokens: number) => void
}

/** Takes one request from its turn in the queue to its end on the engine. */
export class Execution {
  /**
   * @param tools - shared by all dispatchers
   * @param server - the server that runs the request
   * @param hooks - what is told on the way
   */
  constructor (
    private readonly tools: Tools, private readonly server: BackendServer, private readonly hooks: Hooks
  ) {}

  /**
   * Asks the home for the grant, hands the request to the engine and reads its answer.
   *
   * @param work - the request
   * @returns how it ended
   */
  async run (work: Work): Promise<Ending> {
    work.stage = Stage.beginning
    const place: Place = {
      server: this.server.name, responseId: work.job.id, attempt: work.submission.attempt
    }
    const ruling = await this.begin(work, place)
    if (ruling.ruling !== 'done') return denial(ruling)
    if (work.cancelled === undefined) return await this.execute(work, place)
    await this.withdraw(work, place)
    return ending(Outcome.notRun, work.cancelled.reason)
  }

  /** Asks the home for the grant until it rules or time is up. */
  private async begin (work: Work, place: Place): Promise<Ruling> {
    const { key, fingerprint } = work.submission
    const step: Step = { step: 'begin', key, fingerprint, place }
    const deadline = this.now() + BEGIN_TIMEOUT_MS
    for (;;) {
      const ruling = await this.tools.homes.take(step)
      if (ruling.ruling !== 'unavailable') return ruling
      if (this.now() >= deadline || work.cancelled !== undefined) {
        await this.withdraw(work, place)
        return ruling
      }
      await this.tools.clock.sleep(BEGIN_PAUSE_MS)
    }
  }

  private async withdraw (work: Work, place: Place): Promise<void> {
    const { key, fingerprint } = work.submission
    await this.tools.homes.take({ step: 'withdraw', key, fingerprint, place })
  }

  private async execute (work: Work, place: Place): Promise<Ending> {
    const source = { address: this.server.address, responseId: work.job.id }
    work.stage = Stage.running
    work.reader = new Reader(this.tools.client, source, -1, this.tools.clock)
    this.hooks.health.sent(this.now())
    const body = await this.tools.client.create(this.server.address, withId(work))
    if (body.isErr() && (body.error.code === 'refused' || body.error.code === 'invalid')) {
      return await this.turnedAway(work, place, body.error)
    }
    this.hooks.prefixes.note(work.submission.prefix, work.submission.prefixTokens)
    work.answer.begin()
    const result = await work.reader.run(body, event => this.take(work, event))
    return result.isOk() ? this.completed(work) : await this.broken(work, result.error)
  }

  private async turnedAway (work: Work, place: Place, failure: EngineFailure): Promise<Ending> {
    await this.withdraw(work, place)
    if (failure.code === 'invalid') {
      this.hooks.health.succeeded()
      return { ...ending(Outcome.notRun, 'invalid'), detail: failure.message }
    }
    this.hooks.health.failed(this.now())
    this.warn(work, failure)
    return ending(Outcome.notRun, 'refused')
  }

  private take (work: Work, event: StreamEvent): void {
    work.answer.append(event.bytes)
    if (event.tokens > 0) {
      this.hooks.onTokens(work, event.tokens)
      work.tokens += event.tokens
    }
    if (event.totalTokens !== undefined) work.tokens = event.totalTokens
  }

  private completed (work: Work): Ending {
    this.hooks.health.succeeded()
    this.tools.lengths.learn(work.job.className, work.job.organisation, work.tokens)
    return ending(Outcome.answered, 'answered')
  }

  private async broken (work: Work, failure: EngineFailure): Promise<Ending> {
    if (work.cancelled !== undefined) return work.cancelled
    this.hooks.health.failed(this.now())
    this.warn(work, failure)
    // A server that took the request and now refuses connections has crashed. The other hosts hear of it before the
    // caller does, since it may send the request again at once, to any of them.
    if (failure.code === 'refused') await this.tools.onCrash(work.submission.fingerprint, this.server.name)
    return ending(Outcome.unknown, failure.code)
  }

  private warn (work: Work, failure: Failure): void {
    const fields = { requestId: work.submission.requestId, server: this.server.name, code: failure.code }
    this.tools.log.warn(fields, failure.message)
  }

  private now (): number {
    return this.tools.clock.now()
  }
}

function withId (work: Work): string {
  const body = JSON.parse(work.submission.body) as Record<string, unknown>
  return JSON.stringify({ ...body, stream: true, request_id: work.job.id })
}

function denial (ruling: Ruling): Ending {
  switch (ruling.ruling) {
    case 'dispatched': return { ...ending(Outcome.elsewhere, 'elsewhere'), place: ruling.place }
    case 'lost': return ending(Outcome.unknown, 'lost')
    case 'unavailable': return ending(Outcome.notRun, 'home-unavailable')
    default: return ending(Outcome.notRun, ruling.ruling)
  }
}
