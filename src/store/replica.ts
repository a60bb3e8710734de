import { eraOf, isRevision } from './revision.js'
import type { Row } from './row.js'

/**
 * How long a removed row is remembered, in milliseconds, so that an older version of it is not restored. Far longer
 * than a host can lag behind the store and still serve requests.
 */
const REMOVED_RETENTION_MS = 60_000

interface Entry {
  readonly row: Row
  /** When the row was applied, in milliseconds of monotonic time. */
  readonly appliedAt: number
  /** Revision of the latest change of the row beyond a heartbeat. */
  changedAt: number
}

/**
 * The local copy of one table, updated from the store and by gossip. A row is only ever replaced by a newer revision.
 */
export class Replica {
  private readonly entries = new Map<string, Entry>()
  private highestRevision = 0
  /** The latest era of the store of which a row or list is known; what earlier eras say is outdated. */
  private era = 0

  /**
   * @param table - name of the table
   * @param onRow - called with each row that is newer than the known one; returns whether the row changed more than
   *   a heartbeat does
   */
  constructor (readonly table: string, private readonly onRow: (row: Row) => boolean) {}

  /**
   * @param row - a row from the store
   * @returns whether a newer revision of the row is known
   */
  isOutdated (row: Row): boolean {
    const known = this.entries.get(row.key)
    return known !== undefined && known.row.revision > row.revision
  }

  /** The newest revision of all known rows. */
  get newestRevision (): number {
    return this.highestRevision
  }

  /**
   * Applies a row unless its key is known with the same or a newer revision, it is from an earlier era, or its revision
   * is none: a number out of range would seem newer than all that follow.
   *
   * @param row - from the store or another host
   * @param now - monotonic time, in milliseconds
   * @returns whether the row was newer and changed more than a heartbeat does
   */
  apply (row: Row, now: number): boolean {
    if (!isRevision(row.revision)) return false
    const known = this.entries.get(row.key)
    if (eraOf(row.revision) < this.era || (known !== undefined && known.row.revision >= row.revision)) return false
    this.era = eraOf(row.revision)
    const entry = { row, appliedAt: now, changedAt: row.revision }
    this.entries.set(row.key, entry)
    this.highestRevision = Math.max(this.highestRevision, row.revision)
    this.evictRemoved(now)
    const isChange = this.onRow(row)
    if (!isChange && known !== undefined) entry.changedAt = known.changedAt
    return isChange
  }

  /**
   * Records that this copy has all changes up to a revision, apart from heartbeats.
   *
   * @param revision - a revision of the table
   */
  advance (revision: number): void {
    if (!isRevision(revision)) return
    this.era = Math.max(this.era, eraOf(revision))
    this.highestRevision = Math.max(this.highestRevision, revision)
  }

  /**
   * Applies a list of the whole table, in the order of revisions. Known rows that are not listed were removed, unless
   * they are newer than the list.
   *
   * @param rows - all rows of the table
   * @param revision - the store's revision when the table was read
   * @param now - monotonic time, in milliseconds
   */
  applyTable (rows: readonly Row[], revision: number, now: number): void {
    if (!isRevision(revision) || eraOf(revision) < this.era) return
    this.era = eraOf(revision)
    const listedKeys = new Set(rows.map(row => row.key))
    for (const row of [...rows].sort((a, b) => a.revision - b.revision)) this.apply(row, now)
    for (const [key, { row }] of this.entries) {
      if (listedKeys.has(key) || row.value === undefined || row.revision > revision) continue
      this.apply({ ...row, value: undefined, revision }, now)
    }
  }

  /**
   * @param revision - the newest revision that another host has of the table
   * @returns the rows with newer revisions, oldest first
   */
  rowsAfter (revision: number): Row[] {
    return [...this.entries.values()].map(({ row }) => row).filter(row => row.revision > revision)
      .sort((a, b) => a.revision - b.revision)
  }

  /**
   * @param revision - a revision of the table
   * @returns the rows that have changed since beyond a heartbeat, oldest first
   */
  changesAfter (revision: number): Row[] {
    return [...this.entries.values()].filter(({ changedAt }) => changedAt > revision).map(({ row }) => row)
      .sort((a, b) => a.revision - b.revision)
  }

  private evictRemoved (now: number): void {
    for (const [key, { row, appliedAt }] of this.entries) {
      if (row.value === undefined && now - appliedAt > REMOVED_RETENTION_MS) this.entries.delete(key)
    }
  }
}
