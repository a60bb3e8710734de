import type { KeyRecord } from './record.js'

/** The records that one host stores, as coordinator or replica, until their retention time has passed. */
export class RecordStore {
  /** In order of last change, oldest first. */
  private readonly records = new Map<string, KeyRecord>()

  /** @param retentionMs - how long an unchanged record is kept, in milliseconds */
  constructor (private readonly retentionMs: number) {}

  /** The number of stored records. */
  get size (): number {
    return this.records.size
  }

  /**
   * @param key - an idempotency key
   * @returns the record of the key, or undefined
   */
  get (key: string): KeyRecord | undefined {
    return this.records.get(key)
  }

  /** @param record - replaces the stored record of its key */
  set (record: KeyRecord): void {
    this.records.delete(record.key)
    this.records.set(record.key, record)
  }

  /** Removes all records. */
  clear (): void {
    this.records.clear()
  }

  /** @returns all records in order of last change, oldest first */
  values (): IterableIterator<KeyRecord> {
    return this.records.values()
  }

  /**
   * Removes records that have not changed within the retention time.
   *
   * @param now - the current time, in milliseconds since the epoch
   * @returns how many records were removed
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
