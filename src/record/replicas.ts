import type { ResultAsync } from 'neverthrow'
import { Failure } from '../base/index.js'
import type { KeyRecord } from './record.js'

/** Says that another holder can't be reached, or that it refused a copy because of its newer view. */
export class RecordFailure extends Failure<'unreachable' | 'refused'> {}

/** The records that other members hold. */
export interface Copies {
  /**
   * Has a member keep a record.
   *
   * @param member - the member's id
   * @param record - the record
   * @returns what the member then holds
   */
  copy (member: string, record: KeyRecord): ResultAsync<KeyRecord, RecordFailure>

  /**
   * Gives records to a member that newly holds them.
   *
   * @param member - the member's id
   * @param records - the records
   */
  handover (member: string, records: readonly KeyRecord[]): ResultAsync<void, RecordFailure>

  /**
   * @param member - the member's id
   * @param key - a request's key
   * @returns the member's record for the key, or undefined if it has none
   */
  recall (member: string, key: string): ResultAsync<KeyRecord | undefined, RecordFailure>
}
