import type Logger from 'bunyan'
import { type MigrationOrder, type MigrationReport, MigrationStage } from '../migration/index.js'
import type { Migrations } from '../schedule/index.js'
import { eraOf, type Row } from '../store/index.js'
import type { Platform } from './platform.js'

/**
 * Due times that differ by less than this are taken as equal, in milliseconds, since clocks drift and responses of the
 * store take time.
 */
const DUE_TIME_TOLERANCE_MS = 1_000

/** Pause before a failed write of a report is retried, in milliseconds: a few response times of the store. */
const RETRY_PAUSE_MS = 100

interface KnownOrder {
  readonly order: MigrationOrder
  /** When this host received the order, in milliseconds of monotonic time. */
  readonly receivedAt: number
  /** Revision of the latest row that holds the order. */
  readonly rowRevision: number
}

interface KnownReport {
  readonly report: MigrationReport
  readonly revision: number
  /** Key of its row. */
  readonly key: string
  /** Revision of the row in the store; 0 if there is none. */
  readonly storedRevision: number
  /** Whether the store has lost the report, so that it has to be written again. */
  readonly isLost: boolean
}

/** Passes orders of version migrations from the store to the scheduler, and reports the scheduler's decisions. */
export class MigrationController {
  /** The latest order of each service. */
  private readonly orders = new Map<string, KnownOrder>()
  /** The latest report of each service. */
  private readonly reports = new Map<string, KnownReport>()
  /** Monotonic time before which each service's report is not written again; infinite during a write. */
  private readonly nextWriteAt = new Map<string, number>()
  /** The store's clock minus this host's monotonic clock, in milliseconds; undefined until the store responded. */
  private storeClockOffsetMs: number | undefined

  /**
   * @param platform - the store, and the formats of its rows
   * @param migrations - the version migrations of this host's scheduler
   * @param log - logs orders and reports
   */
  constructor (
    private readonly platform: Platform,
    private readonly migrations: Migrations,
    private readonly log: Logger
  ) {}

  /**
   * Sets the difference between the store's clock and this host's.
   *
   * @param storeMs - time of the store's clock, in milliseconds
   * @param now - monotonic time, in milliseconds
   */
  setStoreClock (storeMs: number, now: number): void {
    this.storeClockOffsetMs = storeMs - now
  }

  /**
   * Applies a row of the operators' table if it is an order of a version migration.
   *
   * @param row - a row of the operators' table
   * @param now - monotonic time, in milliseconds
   * @returns whether the row is such an order
   */
  applyOrder (row: Row, now: number): boolean {
    const order = this.platform.readMigrationOrder(row)
    if (order === undefined) return false
    const known = this.orders.get(order.service)
    if (known !== undefined && isSameOrder(known, order)) {
      this.orders.set(order.service, { ...known, rowRevision: row.revision })
      const report = this.reports.get(order.service)
      // Hosts that start now take a report that is older than the order's row for one on a previous order.
      if (report !== undefined && report.storedRevision < row.revision) {
        this.reports.set(order.service, { ...report, isLost: true })
      }
      return true
    }
    this.orders.set(order.service, { order, receivedAt: now, rowRevision: row.revision })
    this.log.info({ event: 'move-ordered', ...order }, 'move-ordered')
    this.updateScheduler(order.service)
    return true
  }

  /**
   * Applies a row of the reports' table if it is the report of a version migration.
   *
   * @param row - a row of the reports' table
   */
  applyReport (row: Row): void {
    const known = [...this.reports.values()].find(({ key }) => key === row.key)
    const report = this.platform.readMigrationReport(row)
    if (known !== undefined && eraOf(row.revision) > eraOf(known.revision) && this.isOlder(report, known.report)) {
      const storedRevision = row.value === undefined ? 0 : row.revision
      this.reports.set(known.report.service, { ...known, storedRevision, isLost: true })
      return
    }
    if (report === undefined) return
    this.reports.set(report.service, {
      report, revision: row.revision, key: row.key, storedRevision: row.revision, isLost: false
    })
    this.updateScheduler(report.service)
  }

  /**
   * Writes reports of migrations whose stage differs from the reported one.
   *
   * @param isScheduler - whether this host is the selected scheduler; other hosts write no reports
   * @param now - monotonic time, in milliseconds
   */
  tick (isScheduler: boolean, now: number): void {
    for (const { order, receivedAt } of this.orders.values()) {
      if (now < (this.nextWriteAt.get(order.service) ?? now)) continue
      const migration = this.migrations.getLatest(order.service, now)
      const report = this.findReport(order)
      if (isScheduler && report !== undefined && this.reports.get(order.service)!.isLost) {
        void this.writeReport(report, now)
        continue
      }
      const hasEnded = report !== undefined && report.stage !== MigrationStage.running
      if (!isScheduler || migration === undefined || hasEnded || report?.stage === migration.stage) continue
      const dueAt = this.storeClockOffsetMs === undefined
        ? undefined
        : this.computeDueAt(order, receivedAt) + this.storeClockOffsetMs
      void this.writeReport({ service: order.service, version: order.version, stage: migration.stage, dueAt }, now)
    }
  }

  /** Passes the order and the reported stage of a service's migration to the scheduler. */
  private updateScheduler (service: string): void {
    const known = this.orders.get(service)
    if (known === undefined) return
    const { order, receivedAt } = known
    this.migrations.setLatest(
      order, this.findReport(order)?.stage ?? MigrationStage.running, this.computeDueAt(order, receivedAt)
    )
  }

  /** Returns the report on an order, if any. A report older than the order is about a previous one. */
  private findReport (order: MigrationOrder): MigrationReport | undefined {
    const known = this.reports.get(order.service)
    return known !== undefined && known.revision > order.revision ? known.report : undefined
  }

  /**
   * Returns when a migration is due, in milliseconds of this host's monotonic time. A host that started after the
   * order uses the due time of the report.
   */
  private computeDueAt (order: MigrationOrder, receivedAt: number): number {
    const localDueAt = receivedAt + order.durationMs
    const dueAt = this.findReport(order)?.dueAt
    if (dueAt === undefined || this.storeClockOffsetMs === undefined) return localDueAt
    const reportedDueAt = dueAt - this.storeClockOffsetMs
    return Math.abs(reportedDueAt - localDueAt) < DUE_TIME_TOLERANCE_MS ? localDueAt : reportedDueAt
  }

  /** Whether a report that a copy of the store holds, or its absence, is from before a known report. */
  private isOlder (report: MigrationReport | undefined, known: MigrationReport): boolean {
    if (report === undefined) return true
    if (report.version !== known.version) return report.version !== this.orders.get(known.service)?.order.version
    return report.stage === MigrationStage.running && known.stage !== MigrationStage.running
  }

  private async writeReport (report: MigrationReport, now: number): Promise<void> {
    const { service } = report
    this.nextWriteAt.set(service, Infinity)
    const expectedRevision = this.reports.get(service)?.storedRevision ?? 0
    const write = this.platform.encodeMigrationReport(report, expectedRevision)
    const written = await this.platform.store.write([write])
    this.nextWriteAt.set(service, now + RETRY_PAUSE_MS)
    const reason = written.isErr() ? written.error.message : undefined
    const { doubt } = this.migrations.getLatest(service, now) ?? {}
    this.log.info({ event: 'move-reported', ...report, reason, doubt }, 'move-reported')
    if (written.isErr()) return
    const { value: revision } = written
    this.reports.set(service, { report, revision, key: write.key, storedRevision: revision, isLost: false })
  }
}

/** Whether a row of a new era holds the order that is known: the copy has it, or the operator wrote it again. */
function isSameOrder (known: KnownOrder, order: MigrationOrder): boolean {
  return eraOf(order.revision) > eraOf(known.rowRevision) &&
    order.version === known.order.version && order.durationMs === known.order.durationMs
}
