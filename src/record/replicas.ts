import type { ResultAsync } from 'neverthrow'
import { Failure } from '../base/index.js'
import type { KeyRecord } from './record.js'

/**
 * Why a call to another replica failed:
 * - `unreachable`: the member is not in the view or did not reply.
 * - `refused`: the member refused the call because its membership view differs.
 */
export class RecordFailure extends Failure<'unreachable' | 'refused'> {}

/** Access to the records that other members store. */
export interface Replicas {
  /**
   * Sends a record to another replica, which reconciles it with its own.
   *
   * @param member - the replica's member id
   * @param record - the record to store
   * @returns the record that the replica has stored
   */
  writeRecord (member: string, record: KeyRecord): ResultAsync<KeyRecord, RecordFailure>

  /**
   * Transfers records to a member that became a replica for them.
   *
   * @param member - the new replica's member id
   * @param records - the records to transfer
   */
  transferRecords (member: string, records: readonly KeyRecord[]): ResultAsync<void, RecordFailure>

  /**
   * Reads a record from another member.
   *
   * @param member - the member's id
   * @param key - an idempotency key
   * @returns the member's record of the key, or undefined if it has none
   */
  readRecord (member: string, key: string): ResultAsync<KeyRecord | undefined, RecordFailure>
}
