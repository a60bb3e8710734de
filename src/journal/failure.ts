import { Failure } from '../base/index.js'

/**
 * Why an entry was not appended:
 * - `conflict`: another entry took the revision.
 * - `unknown`: no answer came; the entry may or may not stand.
 * - `outage`: it does not stand, or could not be read.
 */
export type JournalCode = 'conflict' | 'unknown' | 'outage'

/** A failed read of or append to a journal. */
export class JournalFailure extends Failure<JournalCode> {}
