import type Logger from 'bunyan'
import { type MigrationOrder, type MigrationReport, MigrationStage } from '../migration/index.js'
import type { Migrations } from '../schedule/index.js'
import type { Row } from '../store/index.js'
import type { Platform } from './platform.js'

/** Due times that differ by less than this are the same, in milliseconds: clocks drift and answers take time. */
const SAME_TIME_MS = 1_000

/** Pause before a report that was not written is tried again, in milliseconds: a few answers of the store. */
const RETRY_MS = 100

interface KnownOrder {
  readonly order: MigrationOrder
  /** When this host saw it first, steady milliseconds. */
  readonly seenAt: number
}

interface KnownReport {
  readonly report: MigrationReport | undefined
  readonly revision: number
}

/** Brings orders to move services to the scheduler, and the scheduler's decisions to the store. */
export class Mover {
  private readonly orders = new Map<string, KnownOrder>()
  private readonly reports = new Map<string, KnownReport>()
  /** Reports that are being written, and those that failed lately: when each may be written again. */
  private readonly heldUntil = new Map<string, number>()
  /** The store's clock less this host's steady clock, in milliseconds; undefined until the store answered. */
  private storeOffset: number | undefined

  /**
   * @param platform - the store, and what its rows mean
   * @param moves - the moves, as the scheduler of this host knows them
   * @param log - told what is decided
   */
  constructor (
    private readonly platform: Platform,
    private readonly moves: Migrations,
    private readonly log: Logger
  ) {}

  /** Whether any move was ordered. */
  get hasOrders (): boolean {
    return this.orders.size > 0
  }

  /**
   * @param storeMs - the store's clock
   * @param now - steady time; both in milliseconds
   */
  setStoreClock (storeMs: number, now: number): void {
    this.storeOffset = storeMs - now
  }

  /**
   * Takes a row of the operators' table.
   *
   * @param row - perhaps an order
   * @param now - steady time, in milliseconds
   * @returns whether it is one
   */
  takeOrder (row: Row, now: number): boolean {
    const order = this.platform.readMoveOrder(row)
    if (order === undefined) return false
    this.orders.set(order.service, { order, seenAt: now })
    this.log.info({ event: 'move-ordered', ...order }, 'move-ordered')
    this.updateScheduler(order.service)
    return true
  }

  /**
   * Takes a row of the reports' table.
   *
   * @param row - perhaps the report of a move
   */
  takeReport (row: Row): void {
    const report = this.platform.readMoveReport(row)
    if (report === undefined) return
    this.reports.set(report.service, { report, revision: row.revision })
    this.updateScheduler(report.service)
  }

  /**
   * Reports what the scheduler decided.
   *
   * @param isInCharge - whether this host's scheduler is the one that is asked
   * @param now - steady time, in milliseconds
   */
  tick (isInCharge: boolean, now: number): void {
    for (const { order, seenAt } of this.orders.values()) {
      if (now < (this.heldUntil.get(order.service) ?? now)) continue
      const move = this.moves.getLatest(order.service, now)
      const recorded = this.recorded(order)
      const isFinal = recorded !== undefined && recorded.stage !== MigrationStage.running
      if (!isInCharge || move === undefined || isFinal || recorded?.stage === move.stage) continue
      const dueAt = this.storeOffset === undefined ? undefined : this.dueAt(order, seenAt) + this.storeOffset
      void this.write({ service: order.service, version: order.version, stage: move.stage, dueAt }, now)
    }
  }

  /** Tells the scheduler what is known of a service's move. */
  private updateScheduler (service: string): void {
    const known = this.orders.get(service)
    if (known === undefined) return
    const { order, seenAt } = known
    this.moves.setLatest(order, this.recorded(order)?.stage ?? MigrationStage.running, this.dueAt(order, seenAt))
  }

  /** The report on an order; one that was written before the order is about another. */
  private recorded (order: MigrationOrder): MigrationReport | undefined {
    const known = this.reports.get(order.service)
    return known !== undefined && known.revision > order.revision ? known.report : undefined
  }

  /** A host that started after the order goes by the report's time. */
  private dueAt (order: MigrationOrder, seenAt: number): number {
    const own = seenAt + order.durationMs
    const dueAt = this.recorded(order)?.dueAt
    if (dueAt === undefined || this.storeOffset === undefined) return own
    const reported = dueAt - this.storeOffset
    return Math.abs(reported - own) < SAME_TIME_MS ? own : reported
  }

  private async write (report: MigrationReport, now: number): Promise<void> {
    const { service } = report
    this.heldUntil.set(service, Infinity)
    const expected = this.reports.get(service)?.revision ?? 0
    const written = await this.platform.store.write([this.platform.writeMoveReport(report, expected)])
    this.heldUntil.set(service, now + RETRY_MS)
    const reason = written.isErr() ? written.error.message : undefined
    this.log.info({ event: 'move-reported', ...report, reason }, 'move-reported')
    if (written.isOk()) this.reports.set(service, { report, revision: written.value })
  }
}
