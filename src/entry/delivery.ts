import type { Forecast } from '../admission/index.js'
import { TOP_TIER } from '../config/index.js'
import { type Ending, ending, Outcome, type Part } from '../owner/index.js'
import { BAR_MS, isClosed, type Answer as Ruling, type Place, type Step } from '../record/index.js'
import type { Desk, Order } from './deliverycontext.js'
import { hasBarred, isFinal, isMoving } from './reason.js'
import { candidates, serversFor } from './placement.js'

/** How many servers a request is given to before it is refused. */
const GREATEST_TRIES = 6
/** How long the home may be out of reach, in milliseconds. */
const HOME_PATIENCE_MS = 6_000
const HOME_PAUSE_MS = 250
/** How often a key is barred anew when that took too long. */
const GREATEST_BARS = 3
/** How often an answer is attached to anew before it counts as lost. */
const ATTACHES = 6
const ATTACH_PAUSE_MS = 400
/** A request that comes back sooner counts as sent before it was told "not run". */
const LEAST_RETRY_AFTER_MS = BAR_MS + 1_000

const GREATEST_MOVES = 20
const MOVE_PAUSE_MS = 200

type Next =
  | { readonly next: 'again', readonly retryAfterMs: number, readonly reason: string }
  | { readonly next: 'done' }

/**
 * Brings one request to a server and its answer back. It is given to another
 * server only while it is certain that the one before will not run it.
 */
export class Delivery {
  private attempt = 0
  private dispatched: Place | undefined
  private last = -1
  /** An owner that was asked last gave no forecast. */
  private isUnsure = false

  /**
   * @param desk - shared by all deliveries
   * @param order - the request
   */
  constructor (private readonly desk: Desk, private readonly order: Order) {}

  /** @returns the parts of the answer; the last is an end, and its outcome is never `elsewhere` */
  async * run (): AsyncGenerator<Part> {
    const opened = await this.open()
    if (opened !== undefined) yield * this.ruled(opened)
    else if (this.desk.isConvicted(this.order.draft.fingerprint, this.order.arrived)) yield * this.refuse('poison', 0)
    else yield * this.place()
  }

  /** Gives the request to one server after the other until one runs it. */
  private async * place (): AsyncGenerator<Part> {
    const tried = new Set<string>()
    let retryAfterMs = 0
    let reason = 'no-server'
    let moves = 0
    while (tried.size < GREATEST_TRIES && !this.order.signal.aborted) {
      const server = await this.choose(tried)
      if (server === undefined) {
        // Owners that gave no forecast may be changing: the servers are asked again.
        if (!this.isUnsure || moves++ >= GREATEST_MOVES) break
        await this.desk.clock.sleep(MOVE_PAUSE_MS)
        continue
      }
      const next = yield * this.submit(server)
      if (next.next === 'done') return
      if (isMoving(next.reason) && moves++ < GREATEST_MOVES) {
        await this.desk.clock.sleep(MOVE_PAUSE_MS)
        continue
      }
      tried.add(server)
      retryAfterMs = retryAfterMs === 0 ? next.retryAfterMs : Math.min(retryAfterMs, next.retryAfterMs || Infinity)
      reason = next.reason
      if (hasBarred(next.reason)) {
        const ruling = await this.open()
        if (ruling !== undefined) {
          yield * this.ruled(ruling)
          return
        }
      }
    }
    yield * this.refuse(reason, Math.max(retryAfterMs, LEAST_RETRY_AFTER_MS))
  }

  /** Opens an attempt at the home. Returns the ruling if it is anything but `done`. */
  private async open (): Promise<Ruling | undefined> {
    const { key, draft } = this.order
    const ruling = await this.ask({ step: 'open', key, fingerprint: draft.fingerprint, arrived: this.order.arrived })
    if (ruling.ruling !== 'done') return ruling
    this.attempt = ruling.record.opened
    return undefined
  }

  private async ask (step: Step): Promise<Ruling> {
    const deadline = this.desk.clock.now() + HOME_PATIENCE_MS
    for (;;) {
      const ruling = await this.desk.homes.take(step)
      if (ruling.ruling !== 'unavailable' || this.desk.clock.now() >= deadline) return ruling
      await this.desk.clock.sleep(HOME_PAUSE_MS)
    }
  }

  /** The server that would start the request soonest, or any that accepts it. */
  private async choose (tried: ReadonlySet<string>): Promise<string | undefined> {
    const { demand } = this.order.draft
    const servers = serversFor(this.desk.configuration(), demand.workClass.model)
      .filter(server => !tried.has(server.name))
    this.isUnsure = false
    const first = candidates(servers, demand, this.desk.random)
    const best = await this.best(first)
    if (best !== undefined) return best
    // Nothing is refused while any server could take it, by lower tiers yielding if need be.
    const names = servers.map(server => server.name)
    return await this.best(names.filter(name => !first.includes(name))) ?? await this.yielding(names)
  }

  /** For the top tier, a server on which work of a lower tier runs. */
  private async yielding (names: readonly string[]): Promise<string | undefined> {
    const { demand } = this.order.draft
    if (demand.workClass.tier !== TOP_TIER) return undefined
    const forecasts = await Promise.all(names.map(async name => await this.desk.owners.forecast(name, demand)))
    return names.find((_, i) => forecasts[i]?.yields === true)
  }

  private async best (names: readonly string[]): Promise<string | undefined> {
    const forecasts = await Promise.all(names.map(async name => {
      const forecast = await this.desk.owners.forecast(name, this.order.draft.demand)
      return { name, forecast }
    }))
    let best: { name: string, forecast: Forecast } | undefined
    for (const { name, forecast } of forecasts) {
      if (forecast === undefined) this.isUnsure = true
      if (forecast?.accepts !== true) continue
      if (best === undefined || forecast.waitMs < best.forecast.waitMs) best = { name, forecast }
    }
    return best?.name
  }

  private async * submit (server: string): AsyncGenerator<Part, Next> {
    const { requestId, key, isMinted, draft, arrived, signal } = this.order
    const parts = this.desk.owners.submit(server, {
      ...draft.demand,
      requestId,
      key,
      fingerprint: draft.fingerprint,
      attempt: this.attempt,
      body: draft.body,
      arrived,
      resendable: !isMinted
    }, signal)
    try {
      for await (const part of parts) {
        if (part.part === 'end') return yield * this.ended(part.ending)
        if (part.part === 'begun') this.dispatched = { server, responseId: part.responseId, attempt: this.attempt }
        else this.last = part.last
        yield part
      }
    } catch {
      return yield * this.ownerLost(server)
    }
    return yield * this.ownerLost(server)
  }

  private async * ended (how: Ending): AsyncGenerator<Part, Next> {
    if (how.outcome === Outcome.elsewhere && how.place !== undefined) {
      yield * this.attach(how.place)
      return { next: 'done' }
    }
    if (how.outcome === Outcome.notRun && !isFinal(how.reason)) {
      return { next: 'again', retryAfterMs: how.retryAfterMs, reason: how.reason }
    }
    yield { part: 'end', ending: how }
    return { next: 'done' }
  }

  /** The owner is gone. If it had dispatched the request, its answer is read on; else the attempt is dropped. */
  private async * ownerLost (server: string): AsyncGenerator<Part, Next> {
    if (this.order.signal.aborted) {
      yield { part: 'end', ending: ending(Outcome.unknown, 'caller-gone') }
      return { next: 'done' }
    }
    if (this.dispatched !== undefined) {
      yield * this.attach(this.dispatched)
      return { next: 'done' }
    }
    const { key, draft } = this.order
    const place = { server, responseId: '', attempt: this.attempt }
    const ruling = await this.ask({ step: 'drop', key, fingerprint: draft.fingerprint, place })
    if (ruling.ruling === 'done') {
      return { next: 'again', retryAfterMs: LEAST_RETRY_AFTER_MS, reason: 'barred' }
    }
    yield * this.ruled(ruling)
    return { next: 'done' }
  }

  private async * refuse (reason: string, retryAfterMs: number): AsyncGenerator<Part> {
    const ruling = await this.bar()
    if (ruling.ruling === 'done') yield { part: 'end', ending: ending(Outcome.notRun, reason, retryAfterMs) }
    else yield * this.ruled(ruling)
  }

  /** Bars the key, again if that took too long to cover what was sent meanwhile. */
  private async bar (): Promise<Ruling> {
    const { key, draft, isMinted } = this.order
    for (let tries = 0; tries < GREATEST_BARS; tries++) {
      const ruling = await this.ask({ step: 'bar', key, fingerprint: draft.fingerprint })
      if (ruling.ruling !== 'done' || isMinted || isClosed(ruling.record, this.desk.clock.now())) return ruling
    }
    return { ruling: 'unavailable', reason: 'barring took too long' }
  }

  private async * ruled (ruling: Ruling): AsyncGenerator<Part> {
    if (ruling.ruling === 'dispatched') {
      yield * this.attach(ruling.place)
    } else if (ruling.ruling === 'mismatch') {
      yield { part: 'end', ending: ending(Outcome.notRun, 'mismatch') }
    } else if (ruling.ruling === 'barred') {
      yield { part: 'end', ending: ending(Outcome.notRun, 'barred', LEAST_RETRY_AFTER_MS) }
    } else {
      yield { part: 'end', ending: ending(Outcome.unknown, ruling.ruling, LEAST_RETRY_AFTER_MS) }
    }
  }

  private async * attach (place: Place): AsyncGenerator<Part> {
    for (let tries = 0; tries < ATTACHES && !this.order.signal.aborted; tries++) {
      const parts = this.desk.owners.attach(
        place.server, place.responseId, this.last, tries % 2 === 1, this.order.signal)
      try {
        for await (const part of parts) {
          if (part.part === 'events') this.last = part.last
          if (part.part === 'end' && part.ending.outcome === Outcome.notRun) {
            // The dispatch that was attached to did not happen after all.
            yield * this.refuse('withdrawn', LEAST_RETRY_AFTER_MS)
            return
          }
          yield part
          if (part.part === 'end') return
        }
      } catch {
        await this.desk.clock.sleep(ATTACH_PAUSE_MS)
      }
    }
    yield { part: 'end', ending: ending(Outcome.unknown, 'owner-lost', LEAST_RETRY_AFTER_MS) }
  }
}
