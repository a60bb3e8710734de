import type { BackendServer } from '../fleet/index.js'
import { Crashes } from '../poison/index.js'
import type { Organisation } from '../routing/index.js'
import { UNKNOWN_LEVEL } from './quota.js'
import { type AllowanceLevel, Allowances } from './quotas.js'
import type { ScheduleBounds } from './limits.js'
import { type Effect, Refusal } from './effect.js'
import type { Job } from './job.js'
import { Lane } from './servicestate.js'
import { Loads } from './loads.js'
import { Moves } from './migrations.js'
import { Outcome } from './outcome.js'
import { patienceMs, retryAfterMs } from './timeouts.js'

/** When the caller of a request that crashes servers may come back, in milliseconds: after it is forgotten. */
const CRASHES_RETRY_MS = 120_000

/**
 * Decides which server each job gets and when. It sees the work of all hosts
 * that ask it, does no input or output, and is given the time. All of it may be
 * lost: hosts tell their running work to the next one.
 */
export class Scheduler {
  readonly loads = new Loads()
  readonly moves: Moves
  private readonly lanes = new Map<string, Lane>()
  private readonly allowances: Allowances
  private readonly crashes = new Crashes()
  private part = 1

  /**
   * @param bounds - as operators bear them
   * @param isFirstStart - whether nothing can have been used before
   */
  constructor (private readonly bounds: ScheduleBounds, isFirstStart = false) {
    this.moves = new Moves(bounds.exposure)
    this.allowances = new Allowances(bounds.tolerance, isFirstStart ? 1 : UNKNOWN_LEVEL)
  }

  /**
   * Sets the servers that may get work. Running work of others goes on.
   *
   * @param servers - all of them
   */
  setServers (servers: readonly BackendServer[]): void {
    this.loads.setServers(servers)
  }

  /**
   * Sets whose allowances are kept.
   *
   * @param organisations - all of them
   * @param now - steady time, in milliseconds
   */
  setOrganisations (organisations: readonly Organisation[], now: number): void {
    this.allowances.setOrganisations(organisations, now)
  }

  /**
   * Sets which part of places, allowances and budgets may be used here.
   *
   * @param part - the part of all hosts whose work is seen here, above 0 and up to 1
   * @param now - steady time, in milliseconds
   */
  setPart (part: number, now: number): void {
    if (part === this.part) return
    this.part = part
    this.allowances.setPart(part, now)
  }

  /**
   * Takes a job that asks for a place.
   *
   * @param job - the job
   * @param now - steady time, in milliseconds
   * @returns what is to be done, perhaps about other jobs too
   */
  ask (job: Job, now: number): Effect[] {
    if (this.crashes.isConvicted(job.fingerprint, now)) {
      return [this.refuse(job, Refusal.crashes, CRASHES_RETRY_MS, now)]
    }
    const lane = this.laneOf(job.service)
    if (job.isRepeat && !lane.repeats.take(this.part, now)) return [this.refuse(job, Refusal.budget, 0, now)]
    if (!job.isCharged) {
      const waitMs = this.allowances.take(job.organisation, job.units, job.rank, now)
      if (waitMs > 0) return [{ kind: 'refuse', job: job.id, reason: Refusal.allowance, retryAfterMs: waitMs }]
      lane.repeats.sawFirst(now)
    }
    lane.line.add(job)
    return this.serve(job.service, now)
  }

  /**
   * Takes over a job that runs already.
   *
   * @param job - the job
   * @param server - the id of the server that runs it
   * @param hasStarted - whether its first event came
   * @param now - steady time, in milliseconds
   */
  adopt (job: Job, server: string, hasStarted: boolean, now: number): void {
    const load = this.loads.get(server)
    if (load === undefined) return
    load.begin(job, now)
    this.moves.granted(job, load.server)
    if (hasStarted) load.running.get(job.id)!.startedAt = now
  }

  /**
   * Tells that a job's first event came.
   *
   * @param job - the job's id
   * @param server - the server's id
   * @param now - steady time, in milliseconds
   * @returns what is to be done
   */
  started (job: string, server: string, now: number): Effect[] {
    const load = this.loads.get(server)
    load?.started(job, now)
    return load === undefined ? [] : this.serve(load.server.service, now)
  }

  /**
   * Tells that a job is off its server.
   *
   * @param job - the job's id
   * @param server - the server's id
   * @param outcome - what became of it
   * @param stepMs - mean pause between its events or length of the call, if known; in milliseconds
   * @param now - steady time, in milliseconds
   * @returns what is to be done
   */
  ended (job: string, server: string, outcome: Outcome, stepMs: number | undefined, now: number): Effect[] {
    const load = this.loads.get(server)
    if (load === undefined) return []
    const run = load.running.get(job)
    if (run !== undefined && outcome === Outcome.broken) this.crashes.broke(run.job.fingerprint, server, now)
    if (run !== undefined) this.moves.saw(load.server, run, outcome, stepMs, now)
    if (outcome === Outcome.unreachable) this.crashes.lost(server, now)
    load.end(job, outcome, stepMs, now)
    return this.serve(load.server.service, now)
  }

  /**
   * Takes back a job that waits.
   *
   * @param job - the job's id
   * @param service - the job's service
   * @param now - steady time, in milliseconds
   */
  withdraw (job: string, service: string, now: number): void {
    const waiting = this.lanes.get(service)?.line.remove(job)
    if (waiting !== undefined) this.giveBack(waiting, now)
  }

  /**
   * Takes away all jobs that a predicate names, as when a host is lost.
   *
   * @param isGone - whether a job of this id is gone
   */
  forget (isGone: (id: string) => boolean): void {
    this.loads.forget(isGone)
    for (const { line } of this.lanes.values()) {
      for (const job of line.list(0)) if (isGone(job.id)) line.remove(job.id)
    }
  }

  /**
   * Looks at all waiting jobs again.
   *
   * @param now - steady time, in milliseconds
   * @returns what is to be done
   */
  tick (now: number): Effect[] {
    return [...this.lanes.keys()].flatMap(service => this.serve(service, now))
  }

  /**
   * Takes over what the scheduler before had left of allowances.
   *
   * @param levels - what it had left, as a host heard it
   * @param now - steady time, in milliseconds
   */
  adoptLevels (levels: readonly AllowanceLevel[], now: number): void {
    for (const level of levels) this.allowances.adopt(level, now)
  }

  /** How many jobs wait. */
  get waiting (): number {
    let count = 0
    for (const { line } of this.lanes.values()) count += line.size
    return count
  }

  /** @returns the state, for a dump */
  dump (): unknown {
    return {
      part: this.part,
      moves: this.moves.dump(),
      waiting: [...this.lanes].map(([service, lane]) => ({ service, jobs: lane.line.size })),
      servers: this.loads.dump()
    }
  }

  /** Grants places in the order of the line and refuses those that waited too long. */
  private serve (service: string, now: number): Effect[] {
    const lane = this.lanes.get(service)
    if (lane === undefined || lane.line.size === 0) return []
    const loads = this.loads.of(service)
    const effects: Effect[] = []
    this.moves.of(service, now)
    let open = loads.filter(load => load.freePlaces(this.part, now) > 0)
    for (const job of lane.line.list(now, rank => lane.shares.isShort(rank, now))) {
      const load = this.moves.choose(loads, open, job, now)
      if (load !== undefined) {
        lane.line.remove(job.id)
        load.begin(job, now)
        this.moves.granted(job, load.server)
        lane.shares.saw(job.rank, true, now)
        open = open.filter(each => each !== load || each.freePlaces(this.part, now) > 0)
        const level = this.allowances.left(job.organisation)
        effects.push({ kind: 'grant', job: job.id, server: load.server.id, ...(level === undefined ? {} : { level }) })
      } else if (now - job.arrivedAt >= patienceMs(job)) {
        lane.line.remove(job.id)
        lane.shares.saw(job.rank, false, now)
        const reason = loads.length === 0 ? Refusal.noServer : Refusal.capacity
        effects.push(this.refuse(job, reason, retryAfterMs(job, now), now))
      }
    }
    return effects
  }

  private refuse (job: Job, reason: Refusal, retryAfter: number, now: number): Effect {
    if (reason !== Refusal.crashes) this.giveBack(job, now)
    return { kind: 'refuse', job: job.id, reason, retryAfterMs: retryAfter }
  }

  private giveBack (job: Job, now: number): void {
    if (!job.isCharged) this.allowances.giveBack(job.organisation, job.units, now)
  }

  private laneOf (service: string): Lane {
    let lane = this.lanes.get(service)
    if (lane === undefined) {
      lane = new Lane(this.bounds.repeats)
      this.lanes.set(service, lane)
    }
    return lane
  }
}
