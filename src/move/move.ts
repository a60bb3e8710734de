import { Evidence, type Observation } from './evidence.js'
import { Exposure, type ExposureBounds } from './exposure.js'
import type { MoveOrder } from './order.js'
import { MoveStage } from './stage.js'

/** Before the end new work goes to the version if the old servers would be stopped in its midst; in milliseconds. */
const CHANGE_OVER_MS = 2_000

/** Time that is left for the report to reach the store, in milliseconds: many times a usual write. */
const REPORT_MARGIN_MS = 400

/**
 * How long after a move that is done servers of other versions get nothing, in milliseconds: stopped ones are off the
 * list by then, and what has yet another version later has nothing to do with the move.
 */
const STOPPED_MS = 10_000

/** Fewer sound answers than this are no reason to move all requests. */
const LEAST_SOUND = 5

/** Which servers a job may go to, in the order in which they are tried. */
export const Side = { fresh: 'fresh', old: 'old' } as const

/** One of the values of {@link Side}. */
export type Side = typeof Side[keyof typeof Side]

/**
 * One move of a service to a version. The version gets a small part of each route's requests until the move is
 * nearly due; then it is done if the version showed itself sound. As soon as it shows itself bad it is taken back.
 */
export class Move {
  stage: MoveStage = MoveStage.running
  private readonly exposure: Exposure
  private readonly evidence = new Evidence()

  /**
   * @param order - what operators ordered
   * @param bounds - how many requests a bad version may get
   * @param dueAt - when the move is due, steady milliseconds
   */
  constructor (readonly order: MoveOrder, bounds: ExposureBounds, public dueAt: number) {
    // Between the decision and the time at which the move is due, the version gets all requests.
    this.exposure = new Exposure(bounds, REPORT_MARGIN_MS / order.durationMs)
  }

  /** When the old servers are stopped if all goes well, steady milliseconds. */
  get stopAt (): number {
    return this.dueAt - REPORT_MARGIN_MS
  }

  /**
   * @param route - of a job
   * @param endsAt - when it would be answered on a server of an old version, steady milliseconds
   * @param now - steady time, in milliseconds
   * @returns the sides that the job may go to, the first one preferred
   */
  sides (route: string, endsAt: number, now: number): readonly Side[] {
    if (this.stage === MoveStage.done) return [Side.fresh]
    if (this.stage === MoveStage.takenBack) return [Side.old]
    if (!this.exposure.isLeft) return [Side.old]
    const isLate = now >= this.dueAt - CHANGE_OVER_MS && endsAt > this.stopAt && this.evidence.sound >= LEAST_SOUND
    return isLate || this.exposure.isTrialDue(route) ? [Side.fresh, Side.old] : [Side.old]
  }

  /**
   * @param now - steady time, in milliseconds
   * @returns whether the move is done for so long that it has no say any more
   */
  isOver (now: number): boolean {
    return this.stage === MoveStage.done && now > this.dueAt + STOPPED_MS
  }

  /**
   * Counts a job that goes to a server.
   *
   * @param route - the job's route
   * @param side - which servers its server belongs to
   */
  granted (route: string, side: Side): void {
    this.exposure.count(route, side === Side.fresh)
  }

  /**
   * Takes what came of a job.
   *
   * @param seen - an answer, or the lack of one
   * @param now - steady time, in milliseconds
   */
  saw (seen: Observation, now: number): void {
    if (this.stage !== MoveStage.running) return
    this.evidence.take(seen, now)
    if (this.evidence.isBad) this.stage = MoveStage.takenBack
  }

  /**
   * Ends the move when it is due.
   *
   * @param now - steady time, in milliseconds
   */
  tick (now: number): void {
    if (this.stage !== MoveStage.running || now < this.stopAt) return
    this.stage = this.evidence.sound >= LEAST_SOUND ? MoveStage.done : MoveStage.takenBack
  }
}
