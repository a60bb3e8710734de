import type { Row } from './row.js'

/** How long a removed row is remembered, in milliseconds: far longer than a host can lag and still serve. */
const REMOVED_MEMORY_MS = 60_000

interface Kept {
  readonly row: Row
  readonly at: number
}

/** What this host has of one table, from the store and from other hosts. Rows only ever get newer. */
export class Replica {
  private readonly kept = new Map<string, Kept>()
  private newestRevision = 0

  /**
   * @param table - the table's name
   * @param onRow - told each row that is newer than what was known; says whether it matters, or is a mere heartbeat
   */
  constructor (readonly table: string, private readonly onRow: (row: Row) => boolean) {}

  /** The newest revision of a row that is known. */
  get newest (): number {
    return this.newestRevision
  }

  /**
   * Takes a row unless a newer one of its key is known.
   *
   * @param row - from the store or another host
   * @param now - steady time, in milliseconds
   * @returns whether it is newer and matters
   */
  apply (row: Row, now: number): boolean {
    const known = this.kept.get(row.key)
    if (known !== undefined && known.row.revision >= row.revision) return false
    this.kept.set(row.key, { row, at: now })
    this.newestRevision = Math.max(this.newestRevision, row.revision)
    this.forget(now)
    return this.onRow(row)
  }

  /**
   * Takes the whole table: rows that are not listed were removed.
   *
   * @param rows - all rows that exist
   * @param revision - as of which they are told
   * @param now - steady time, in milliseconds
   */
  replace (rows: readonly Row[], revision: number, now: number): void {
    const listed = new Set(rows.map(row => row.key))
    for (const [key, { row }] of this.kept) {
      if (listed.has(key) || row.value === undefined || row.revision > revision) continue
      this.apply({ ...row, value: undefined, revision }, now)
    }
    for (const row of rows) this.apply(row, now)
  }

  /**
   * @param revision - up to which another host knows the table
   * @returns the rows that are newer, oldest first
   */
  after (revision: number): Row[] {
    return [...this.kept.values()].map(({ row }) => row).filter(row => row.revision > revision)
      .sort((a, b) => a.revision - b.revision)
  }

  private forget (now: number): void {
    for (const [key, { row, at }] of this.kept) {
      if (row.value === undefined && now - at > REMOVED_MEMORY_MS) this.kept.delete(key)
    }
  }
}
