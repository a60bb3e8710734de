import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import { Condition, type PlatformFailure, type Table } from '../platform/index.js'
import { type JournalCode, JournalFailure } from './failure.js'

/** An entry with the revision that it made. */
export interface Stamped<Entry> {
  readonly revision: number
  readonly entry: Entry
}

/** What each entry of a journal carries, so that its writer knows it again. */
export interface Identified {
  readonly id: string
}

const SORT_DIGITS = 12
const PAGE_ROWS = 200

function toSort (revision: number): string {
  return String(revision).padStart(SORT_DIGITS, '0')
}

function failure (code: JournalCode, cause: PlatformFailure): JournalFailure {
  return new JournalFailure('JournalFailure', { code, cause }, cause.message)
}

/**
 * An append-only log in one partition of the table. Revisions count up from 1
 * without gaps; a conditional write settles who takes the next.
 */
export class Journal<Entry extends Identified> {
  /**
   * @param table - where the log is kept
   * @param partition - the log's partition
   */
  constructor (private readonly table: Table, private readonly partition: string) {}

  /**
   * Appends an entry at exactly one revision.
   *
   * @param revision - the revision it shall make
   * @param entry - the entry
   * @returns nothing once it stands; `conflict` if another entry stands there
   */
  append (revision: number, entry: Entry): ResultAsync<void, JournalFailure> {
    const row = { partition: this.partition, sort: toSort(revision), version: 1, body: JSON.stringify(entry) }
    return this.table.put(row, Condition.absent).orElse(cause => {
      if (cause.code === 'refused') return errAsync(failure('outage', cause))
      return this.settle(revision, entry, cause)
    })
  }

  /**
   * Reads on from a revision.
   *
   * @param revision - the last revision already known
   * @returns the entries after it, oldest first; at most one page
   */
  since (revision: number): ResultAsync<Array<Stamped<Entry>>, JournalFailure> {
    return this.table.range(this.partition, toSort(revision), PAGE_ROWS)
      .map(rows => rows.map(row => ({ revision: Number(row.sort), entry: JSON.parse(row.body) as Entry })))
      .mapErr(cause => failure('outage', cause))
  }

  /** Tells by reading back whether a write whose answer is missing or negative took effect. */
  private settle (revision: number, entry: Entry, cause: PlatformFailure): ResultAsync<void, JournalFailure> {
    return this.table.get({ partition: this.partition, sort: toSort(revision) })
      .mapErr(() => failure('unknown', cause))
      .andThen(row => {
        // An absent row proves nothing: the write may still be on its way.
        if (row === undefined) return errAsync(failure('unknown', cause))
        const standing = JSON.parse(row.body) as Entry
        return standing.id === entry.id ? okAsync(undefined) : errAsync(failure('conflict', cause))
      })
  }
}
