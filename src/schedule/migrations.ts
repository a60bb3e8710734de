import type { BackendServer } from '../fleet/index.js'
import { type ExposureBounds, Move, type MoveOrder, MoveStage, Side } from '../move/index.js'
import type { Job } from './job.js'
import { cheapest, type Load, type Run } from './load.js'
import { Outcome } from './outcome.js'

/** Outcomes that count against a server's version. */
const FAILURES: ReadonlySet<Outcome> = new Set([Outcome.failed, Outcome.broken, Outcome.silent])

/** Outcomes that end all requests of a server at once. */
const LOSSES: ReadonlySet<Outcome> = new Set([Outcome.broken, Outcome.silent])

/** Outcomes that say nothing of a server's version. */
const NEUTRAL: ReadonlySet<Outcome> = new Set([
  Outcome.rejected, Outcome.misdirected, Outcome.unreachable, Outcome.unsendable, Outcome.cancelled
])

/** A job that was given up after this many objectives without an event counts against its server's version. */
const UNSERVED_OBJECTIVES = 1.5

/** The newest move of each service, and where jobs go on its account. */
export class Moves {
  private readonly moves = new Map<string, Move>()

  /** @param bounds - how many requests a bad version may get */
  constructor (private readonly bounds: ExposureBounds) {}

  /**
   * Sets the newest move of a service. An end that is on record goes before what was decided here.
   *
   * @param order - what operators ordered
   * @param stage - how far it came, as it is on record
   * @param dueAt - when it is due, steady milliseconds
   */
  set (order: MoveOrder, stage: MoveStage, dueAt: number): void {
    let move = this.moves.get(order.service)
    if (move === undefined || move.order.revision !== order.revision) {
      move = new Move(order, this.bounds, dueAt)
      this.moves.set(order.service, move)
    }
    move.dueAt = dueAt
    if (stage !== MoveStage.running) move.stage = stage
  }

  /**
   * @param service - a service
   * @param now - steady time, in milliseconds
   * @returns its newest move, or undefined if there is none
   */
  of (service: string, now: number): Move | undefined {
    const move = this.moves.get(service)
    move?.tick(now)
    return move
  }

  /**
   * Chooses a server for a job.
   *
   * @param all - the servers of the job's service
   * @param open - those that have a free place
   * @param job - asks for a place
   * @param now - steady time, in milliseconds
   * @returns the server, or undefined if the job should wait
   */
  choose (all: readonly Load[], open: readonly Load[], job: Job, now: number): Load | undefined {
    const move = this.moves.get(job.service)
    if (move === undefined || move.isOver(now)) return cheapest(open, job, now)
    const old = cheapest(open.filter(load => sideOf(move, load.server) === Side.old), job, now)
    const sides = move.sides(job.route, now + (old?.expectedMs(job) ?? 0), now)
    for (const side of sides) {
      const load = side === Side.old ? old : cheapest(open.filter(each => sideOf(move, each.server) === side), job, now)
      if (load !== undefined) return load
    }
    // No caller is left without servers for the sake of a move, but for a version that was found bad.
    if (move.stage === MoveStage.takenBack) return undefined
    return all.every(load => !sides.includes(sideOf(move, load.server))) ? cheapest(open, job, now) : undefined
  }

  /**
   * Counts a job that goes to a server.
   *
   * @param job - the job
   * @param server - where it goes
   */
  granted (job: Job, server: BackendServer): void {
    const move = this.moves.get(server.service)
    move?.granted(job.route, sideOf(move, server))
  }

  /**
   * Takes what came of a job as evidence on its server's version.
   *
   * @param server - where the job was
   * @param run - the job
   * @param outcome - what became of it
   * @param stepMs - mean pause between its events or length of the call, if known; in milliseconds
   * @param now - steady time, in milliseconds
   */
  saw (server: BackendServer, run: Run, outcome: Outcome, stepMs: number | undefined, now: number): void {
    const move = this.moves.get(server.service)
    const { job, startedAt, grantedAt } = run
    const isUnserved = outcome === Outcome.cancelled && startedAt === undefined &&
      now - grantedAt > UNSERVED_OBJECTIVES * job.objectiveMs
    if (move === undefined || (NEUTRAL.has(outcome) && !isUnserved)) return
    move.saw({
      route: job.route,
      server: server.id,
      isFresh: sideOf(move, server) === Side.fresh,
      isFailure: isUnserved || FAILURES.has(outcome),
      isLoss: LOSSES.has(outcome),
      stepMs
    }, now)
  }

  /** @returns the state, for a dump */
  dump (): unknown {
    return [...this.moves.values()].map(({ order, stage }) => ({ ...order, stage }))
  }
}

function sideOf (move: Move, server: BackendServer): Side {
  return server.version === move.order.version ? Side.fresh : Side.old
}
