import type { Forecast } from '../admission/index.js'
import { HIGHEST_TIER } from '../config/index.js'
import { Outcome, type RequestResult, requestResult, type ResponsePart } from '../owner/index.js'
import {
  type CoordinatorReply, type DispatchLocation, FENCE_WINDOW_MS, isFenceCurrent, type RecordOperation
} from '../record/index.js'
import type { DeliveryContext, DeliveryRequest } from './deliverycontext.js'
import { eligibleServers, selectCandidates } from './placement.js'
import { isAttemptFenced, isOwnerChanging, isPermanent } from './reason.js'

/** How many servers may be tried before a request is refused. */
const MAX_SERVERS_TRIED = 6
/** How long to retry while a key's coordinator is unavailable, in milliseconds. */
const COORDINATOR_TIMEOUT_MS = 6_000
const COORDINATOR_RETRY_DELAY_MS = 250
/** How many times a key is fenced if each fence expires before it is confirmed. */
const MAX_FENCE_ATTEMPTS = 3
/** How many times an answer is attached to before the request ends as unknown. */
const MAX_ATTACHES = 6
const ATTACH_RETRY_DELAY_MS = 400
/** Longer than the fence window: a retry within FENCE_WINDOW_MS of the fence counts as sent before it. */
const MIN_RETRY_AFTER_MS = FENCE_WINDOW_MS + 1_000
/** How many times servers are asked again while their owners change. */
const MAX_OWNER_CHANGE_RETRIES = 20
const OWNER_CHANGE_RETRY_DELAY_MS = 200

type SubmitResult =
  | { readonly next: 'again', readonly retryAfterMs: number, readonly reason: string }
  | { readonly next: 'done' }

/** Delivers one request. Another server is tried only when the previous one certainly will not run it. */
export class Delivery {
  private attempt = 0
  private dispatchLocation: DispatchLocation | undefined
  private lastSequence = -1
  /** Whether an owner returned no forecast when a server was last chosen. */
  private isForecastMissing = false

  /**
   * @param context - the dependencies shared by all deliveries
   * @param request - the request
   */
  constructor (private readonly context: DeliveryContext, private readonly request: DeliveryRequest) {}

  /** @returns the parts of the answer; the last one is an `end`, whose outcome is never `elsewhere` */
  async * run (): AsyncGenerator<ResponsePart> {
    const reply = await this.openAttempt()
    if (reply !== undefined) yield * this.handleReply(reply)
    else if (this.context.isPoison(
      this.request.engineRequest.fingerprint, this.request.arrivedAt)) yield * this.refuse('poison', 0)
    else yield * this.submitToServers()
  }

  /** Submits the request to one server after another until one runs it. */
  private async * submitToServers (): AsyncGenerator<ResponsePart> {
    const tried = new Set<string>()
    let retryAfterMs = 0
    let reason = 'no-server'
    let ownerChangeRetries = 0
    while (tried.size < MAX_SERVERS_TRIED && !this.request.signal.aborted) {
      const server = await this.chooseServer(tried)
      if (server === undefined) {
        // A server without a forecast may be changing owners, so the servers are asked again.
        if (!this.isForecastMissing || ownerChangeRetries++ >= MAX_OWNER_CHANGE_RETRIES) break
        await this.context.clock.sleep(OWNER_CHANGE_RETRY_DELAY_MS)
        continue
      }
      const result = yield * this.submit(server)
      if (result.next === 'done') return
      if (isOwnerChanging(result.reason) && ownerChangeRetries++ < MAX_OWNER_CHANGE_RETRIES) {
        await this.context.clock.sleep(OWNER_CHANGE_RETRY_DELAY_MS)
        continue
      }
      tried.add(server)
      retryAfterMs = retryAfterMs === 0 ? result.retryAfterMs : Math.min(retryAfterMs, result.retryAfterMs || Infinity)
      reason = result.reason
      if (isAttemptFenced(result.reason)) {
        const reply = await this.openAttempt()
        if (reply !== undefined) {
          yield * this.handleReply(reply)
          return
        }
      }
    }
    yield * this.refuse(reason, Math.max(retryAfterMs, MIN_RETRY_AFTER_MS))
  }

  /** Opens an attempt at the key's coordinator. Returns the reply unless its status is `done`. */
  private async openAttempt (): Promise<CoordinatorReply | undefined> {
    const { key, engineRequest } = this.request
    const reply = await this.applyOperation(
      { kind: 'open', key, fingerprint: engineRequest.fingerprint, arrived: this.request.arrivedAt })
    if (reply.status !== 'done') return reply
    this.attempt = reply.record.opened
    return undefined
  }

  private async applyOperation (operation: RecordOperation): Promise<CoordinatorReply> {
    const deadline = this.context.clock.now() + COORDINATOR_TIMEOUT_MS
    for (;;) {
      const reply = await this.context.keyCoordinators.applyStep(operation)
      if (reply.status !== 'unavailable' || this.context.clock.now() >= deadline) return reply
      await this.context.clock.sleep(COORDINATOR_RETRY_DELAY_MS)
    }
  }

  /** Chooses the server that would start the request soonest, or any other that accepts it. */
  private async chooseServer (tried: ReadonlySet<string>): Promise<string | undefined> {
    const { demand } = this.request.engineRequest
    const servers = eligibleServers(this.context.configuration(), demand.workClass.model)
      .filter(server => !tried.has(server.name))
    this.isForecastMissing = false
    const candidates = selectCandidates(servers, demand, this.context.random)
    const soonest = await this.findSoonest(candidates)
    if (soonest !== undefined) return soonest
    // A request is refused only if no server accepts it, even by preempting work of lower tiers.
    const names = servers.map(server => server.name)
    return await this.findSoonest(names.filter(name => !candidates.includes(name))) ?? await this.findPreemptible(names)
  }

  /** For the top tier, finds a server whose running work of a lower tier can be preempted. */
  private async findPreemptible (names: readonly string[]): Promise<string | undefined> {
    const { demand } = this.request.engineRequest
    if (demand.workClass.tier !== HIGHEST_TIER) return undefined
    const forecasts = await Promise.all(names.map(async name => await this.context.owners.forecast(name, demand)))
    return names.find((_, i) => forecasts[i]?.yields === true)
  }

  private async findSoonest (names: readonly string[]): Promise<string | undefined> {
    const forecasts = await Promise.all(names.map(async name => {
      const forecast = await this.context.owners.forecast(name, this.request.engineRequest.demand)
      return { name, forecast }
    }))
    let best: { name: string, forecast: Forecast } | undefined
    for (const { name, forecast } of forecasts) {
      if (forecast === undefined) this.isForecastMissing = true
      if (forecast?.accepts !== true) continue
      if (best === undefined || forecast.waitMs < best.forecast.waitMs) best = { name, forecast }
    }
    return best?.name
  }

  private async * submit (server: string): AsyncGenerator<ResponsePart, SubmitResult> {
    const { requestId, key, hasGeneratedKey, engineRequest, arrivedAt, signal } = this.request
    const parts = this.context.owners.submit(server, {
      ...engineRequest.demand,
      requestId,
      key,
      fingerprint: engineRequest.fingerprint,
      attempt: this.attempt,
      body: engineRequest.body,
      arrived: arrivedAt,
      resendable: !hasGeneratedKey
    }, signal)
    try {
      for await (const part of parts) {
        if (part.part === 'end') return yield * this.handleResult(part.result)
        if (part.part === 'begun') this.dispatchLocation = { server, responseId: part.responseId, attempt: this.attempt }
        else this.lastSequence = part.lastSequenceNumber
        yield part
      }
    } catch {
      return yield * this.handleOwnerLoss(server)
    }
    return yield * this.handleOwnerLoss(server)
  }

  private async * handleResult (result: RequestResult): AsyncGenerator<ResponsePart, SubmitResult> {
    if (result.outcome === Outcome.elsewhere && result.place !== undefined) {
      yield * this.attach(result.place)
      return { next: 'done' }
    }
    if (result.outcome === Outcome.notRun && !isPermanent(result.reason)) {
      return { next: 'again', retryAfterMs: result.retryAfterMs, reason: result.reason }
    }
    yield { part: 'end', result }
    return { next: 'done' }
  }

  /** After the owner is lost: attaches to the answer if the request was dispatched, else drops the attempt. */
  private async * handleOwnerLoss (server: string): AsyncGenerator<ResponsePart, SubmitResult> {
    if (this.request.signal.aborted) {
      yield { part: 'end', result: requestResult(Outcome.unknown, 'caller-gone') }
      return { next: 'done' }
    }
    if (this.dispatchLocation !== undefined) {
      yield * this.attach(this.dispatchLocation)
      return { next: 'done' }
    }
    const { key, engineRequest } = this.request
    const location = { server, responseId: '', attempt: this.attempt }
    const reply = await this.applyOperation(
      { kind: 'drop', key, fingerprint: engineRequest.fingerprint, place: location })
    if (reply.status === 'done') {
      return { next: 'again', retryAfterMs: MIN_RETRY_AFTER_MS, reason: 'barred' }
    }
    yield * this.handleReply(reply)
    return { next: 'done' }
  }

  private async * refuse (reason: string, retryAfterMs: number): AsyncGenerator<ResponsePart> {
    const reply = await this.fenceKey()
    if (reply.status === 'done') yield { part: 'end', result: requestResult(Outcome.notRun, reason, retryAfterMs) }
    else yield * this.handleReply(reply)
  }

  /** Fences the key. Tries again if the fence took so long that it does not cover requests sent in the meantime. */
  private async fenceKey (): Promise<CoordinatorReply> {
    const { key, engineRequest, hasGeneratedKey } = this.request
    for (let attempts = 0; attempts < MAX_FENCE_ATTEMPTS; attempts++) {
      const reply = await this.applyOperation({ kind: 'bar', key, fingerprint: engineRequest.fingerprint })
      if (reply.status !== 'done' || hasGeneratedKey || isFenceCurrent(reply.record, this.context.clock.now())) return reply
    }
    return { status: 'unavailable', reason: 'fencing the key took too long' }
  }

  private async * handleReply (reply: CoordinatorReply): AsyncGenerator<ResponsePart> {
    if (reply.status === 'dispatched') {
      yield * this.attach(reply.place)
    } else if (reply.status === 'mismatch') {
      yield { part: 'end', result: requestResult(Outcome.notRun, 'mismatch') }
    } else if (reply.status === 'barred') {
      yield { part: 'end', result: requestResult(Outcome.notRun, 'barred', MIN_RETRY_AFTER_MS) }
    } else {
      yield { part: 'end', result: requestResult(Outcome.unknown, reply.status, MIN_RETRY_AFTER_MS) }
    }
  }

  private async * attach (location: DispatchLocation): AsyncGenerator<ResponsePart> {
    for (let attempts = 0; attempts < MAX_ATTACHES && !this.request.signal.aborted; attempts++) {
      const parts = this.context.owners.attach(
        location.server, location.responseId, this.lastSequence, attempts % 2 === 1, this.request.signal)
      try {
        for await (const part of parts) {
          if (part.part === 'events') this.lastSequence = part.lastSequenceNumber
          if (part.part === 'end' && part.result.outcome === Outcome.notRun) {
            // The dispatch was granted but did not happen.
            yield * this.refuse('withdrawn', MIN_RETRY_AFTER_MS)
            return
          }
          yield part
          if (part.part === 'end') return
        }
      } catch {
        await this.context.clock.sleep(ATTACH_RETRY_DELAY_MS)
      }
    }
    yield { part: 'end', result: requestResult(Outcome.unknown, 'owner-lost', MIN_RETRY_AFTER_MS) }
  }
}
