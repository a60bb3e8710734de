import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import { type PlatformFailure, type Table, WriteCondition } from '../platform/index.js'
import { JournalFailure, type JournalFailureCode } from './failure.js'

/** A log entry with its revision. */
export interface Revisioned<Entry> {
  readonly revision: number
  readonly entry: Entry
}

/** What every log entry contains. */
export interface Identifiable {
  /** Unique id, by which the writer recognises its own entry. */
  readonly id: string
}

/** Revisions are padded with zeros, so that the order of the sort keys as text is that of the revisions. */
const SORT_KEY_DIGITS = 12
const PAGE_ROWS = 200

function toSortKey (revision: number): string {
  return String(revision).padStart(SORT_KEY_DIGITS, '0')
}

function createFailure (code: JournalFailureCode, cause: PlatformFailure): JournalFailure {
  return new JournalFailure('JournalFailure', { code, cause }, cause.message)
}

/**
 * An append-only log in one partition of the table. Revisions count up from 1
 * without gaps. Entries are written on the condition that their revision is
 * free, so that of several concurrent appends one succeeds.
 */
export class Journal<Entry extends Identifiable> {
  /**
   * @param table - the table that contains the log
   * @param partition - the partition of the table that contains only this log
   */
  constructor (private readonly table: Table, private readonly partition: string) {}

  /**
   * Appends an entry at a given revision.
   *
   * @param revision - the revision of the entry: the one after the last known
   * @param entry - the entry, which is stored as JSON
   * @returns nothing once the entry is stored; `conflict` if the revision is already taken by another entry
   */
  append (revision: number, entry: Entry): ResultAsync<void, JournalFailure> {
    const row = { partition: this.partition, sortKey: toSortKey(revision), version: 1, body: JSON.stringify(entry) }
    return this.table.put(row, WriteCondition.absent).orElse(cause => {
      if (cause.code === 'refused') return errAsync(createFailure('outage', cause))
      return this.resolveAppend(revision, entry, cause)
    })
  }

  /**
   * Reads the entries after a revision.
   *
   * @param revision - the last revision already known
   * @returns the entries, oldest first; at most one page of them
   */
  readAfter (revision: number): ResultAsync<Array<Revisioned<Entry>>, JournalFailure> {
    return this.table.query(this.partition, toSortKey(revision), PAGE_ROWS)
      .map(rows => rows.map(row => ({ revision: Number(row.sortKey), entry: JSON.parse(row.body) as Entry })))
      .mapErr(cause => createFailure('outage', cause))
  }

  /** Reads the revision back to tell whether an append took effect although its write failed or was not confirmed. */
  private resolveAppend (revision: number, entry: Entry, cause: PlatformFailure): ResultAsync<void, JournalFailure> {
    return this.table.get({ partition: this.partition, sortKey: toSortKey(revision) })
      .mapErr(() => createFailure('unknown', cause))
      .andThen(row => {
        // An absent row is not conclusive: the write may still be in flight.
        if (row === undefined) return errAsync(createFailure('unknown', cause))
        const stored = JSON.parse(row.body) as Entry
        return stored.id === entry.id ? okAsync(undefined) : errAsync(createFailure('conflict', cause))
      })
  }
}
