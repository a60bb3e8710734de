import { Failure } from '../base/index.js'

/**
 * Why a read or an append failed:
 * - `conflict`: the revision is already taken by another entry.
 * - `unknown`: the table did not confirm the append; the entry may or may not be stored.
 * - `outage`: the entry was not stored, or the log could not be read.
 */
export type JournalFailureCode = 'conflict' | 'unknown' | 'outage'

/** A failed read of or append to a journal. */
export class JournalFailure extends Failure<JournalFailureCode> {}
