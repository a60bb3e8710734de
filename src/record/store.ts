import type { KeyRecord } from './record.js'

/** The records that one host holds, as home or as copy, within a retention time. */
export class Ledger {
  /** Kept in the order of last change, oldest first. */
  private readonly records = new Map<string, KeyRecord>()

  /** @param retentionMs - how long an unchanged record is kept, in milliseconds */
  constructor (private readonly retentionMs: number) {}

  /** How many records are held. */
  get size (): number {
    return this.records.size
  }

  /**
   * @param key - a request's key
   * @returns its record, or undefined
   */
  get (key: string): KeyRecord | undefined {
    return this.records.get(key)
  }

  /** @param record - replaces what is held for its key */
  set (record: KeyRecord): void {
    this.records.delete(record.key)
    this.records.set(record.key, record)
  }

  /** Forgets all records. */
  clear (): void {
    this.records.clear()
  }

  /** @returns all records, oldest change first */
  values (): IterableIterator<KeyRecord> {
    return this.records.values()
  }

  /**
   * Forgets records that have not changed within the retention time.
   *
   * @param now - the present time, in milliseconds since the epoch
   * @returns how many were forgotten
   */
  expire (now: number): number {
    let count = 0
    for (const record of this.records.values()) {
      if (record.at > now - this.retentionMs) break
      this.records.delete(record.key)
      count++
    }
    return count
  }
}
