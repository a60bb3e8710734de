import type { Clock } from '../base/index.js'
import { HOST_PART, type Job, type Outcome, Refusal, type RepeatBounds, Repeats } from '../schedule/index.js'
import type { Reply } from './dispatch_pb.js'
import { askFrame, toPlace } from './frames.js'
import type { Port } from './port.js'
import type { Placement, Ticket, TicketState } from './ticket.js'

/** Asks the scheduler in charge for places, and tells the next one all work when it changes. */
export class Dispatcher {
  private readonly tickets = new Map<number, TicketState>()
  private last = 0
  private port: Port | undefined
  /** What schedulers had left of allowances when they last gave a place. */
  private readonly levels = new Map<string, { readonly level: number, readonly at: number }>()

  /** Second sends of this host by service: they are bounded here too, since a scheduler that is new knows of none. */
  private readonly repeats = new Map<string, Repeats>()
  /** How many hosts share the budget of second sends. */
  hosts = 1

  /**
   * @param clock - steady time
   * @param bounds - what bounds second sends over all hosts
   */
  constructor (private readonly clock: Clock, private readonly bounds: RepeatBounds) {}

  /**
   * Asks for a place.
   *
   * @param job - what needs a place
   * @param take - takes the placement, perhaps before this returns
   * @returns tells what becomes of the job
   */
  request (job: Omit<Job, 'id'>, take: (placement: Placement) => void): Ticket {
    this.last = (this.last + 1) >>> 0
    const state: TicketState = {
      number: this.last,
      job: { ...job, id: String(this.last) },
      take,
      askedAt: this.clock.now(),
      isHeard: false,
      server: undefined,
      hasStarted: false
    }
    if (!this.withinBudget(job, state.askedAt)) {
      take({ kind: 'refused', reason: Refusal.budget, retryAfterMs: 0 })
      return { started: () => undefined, ended: () => undefined, withdraw: () => undefined }
    }
    this.tickets.set(state.number, state)
    this.port?.send(askFrame(state.number, { case: 'place', value: toPlace(state.job, state.askedAt) }))
    return {
      started: () => this.started(state),
      ended: (outcome, stepMs) => this.ended(state, outcome, stepMs),
      withdraw: () => this.withdraw(state)
    }
  }

  /**
   * Changes the scheduler that is asked, and tells it all work of this host.
   *
   * @param port - the scheduler
   */
  use (port: Port): void {
    this.port = port
    const now = this.clock.now()
    const levels = [...this.levels].map(([organisation, { level, at }]) => ({ organisation, level, ageMs: now - at }))
    if (levels.length > 0) port.send(askFrame(0, { case: 'levels', value: { levels } }))
    for (const state of this.tickets.values()) {
      const { number, job, server, hasStarted } = state
      if (server === undefined) continue
      const place = toPlace(job, now)
      port.send(askFrame(number, { case: 'adopt', value: { place, server, started: hasStarted } }))
    }
    for (const state of this.tickets.values()) {
      if (state.server !== undefined) continue
      state.askedAt = now
      state.isHeard = false
      port.send(askFrame(state.number, { case: 'place', value: toPlace(state.job, now) }))
    }
  }

  /**
   * Takes a reply of the scheduler in charge.
   *
   * @param reply - about one of this host's jobs
   */
  take (reply: Reply): void {
    const state = this.tickets.get(reply.job)
    if (state === undefined) {
      this.giveUp(reply)
      return
    }
    state.isHeard = true
    const { body } = reply
    if (body.case === 'grant') {
      state.server = body.value.server
      this.noteLevel(state.job.organisation, body.value.level)
      state.take({ kind: 'granted', server: body.value.server })
    } else if (body.case === 'refused') {
      this.tickets.delete(state.number)
      const { reason, retryAfterMs } = body.value
      state.take({ kind: 'refused', reason: reason as Refusal, retryAfterMs })
    }
  }

  /**
   * @param now - steady time, in milliseconds
   * @returns the age of the oldest ask that the scheduler has not answered in any way, in milliseconds
   */
  oldestUnheardMs (now: number): number {
    let oldest = 0
    for (const state of this.tickets.values()) {
      if (state.server === undefined && !state.isHeard) oldest = Math.max(oldest, now - state.askedAt)
    }
    return oldest
  }

  /** Whether jobs of this host wait for a place. */
  get isWaiting (): boolean {
    for (const state of this.tickets.values()) if (state.server === undefined) return true
    return false
  }

  /** How many jobs of this host wait or run. */
  get size (): number {
    return this.tickets.size
  }

  private started (state: TicketState): void {
    if (state.server === undefined || state.hasStarted) return
    state.hasStarted = true
    this.port?.send(askFrame(state.number, { case: 'started', value: { server: state.server } }))
  }

  private ended (state: TicketState, outcome: Outcome, stepMs = 0): void {
    if (!this.tickets.delete(state.number) || state.server === undefined) return
    this.port?.send(askFrame(state.number, { case: 'ended', value: { server: state.server, outcome, stepMs } }))
  }

  private withdraw (state: TicketState): void {
    if (state.server !== undefined || !this.tickets.delete(state.number)) return
    this.port?.send(askFrame(state.number, { case: 'withdraw', value: { service: state.job.service } }))
  }

  private withinBudget (job: Omit<Job, 'id'>, now: number): boolean {
    let repeats = this.repeats.get(job.service)
    if (repeats === undefined) {
      repeats = new Repeats(this.bounds, HOST_PART)
      this.repeats.set(job.service, repeats)
    }
    if (job.isRepeat) return repeats.take(1 / this.hosts, now)
    if (!job.isCharged) repeats.sawFirst(now)
    return true
  }

  private noteLevel (organisation: string | undefined, level: number | undefined): void {
    if (organisation === undefined || level === undefined) return
    this.levels.set(organisation, { level, at: this.clock.now() })
  }

  /** Gives back a place that was granted while the ask was on its way back. */
  private giveUp (reply: Reply): void {
    if (reply.body.case !== 'grant') return
    const { server } = reply.body.value
    this.port?.send(askFrame(reply.job, { case: 'ended', value: { server, outcome: 'cancelled', stepMs: 0 } }))
  }
}
