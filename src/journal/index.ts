/** Append-only logs in the platform's table. */
export { Journal, type Identified, type Stamped } from './journal.js'
export { type JournalCode, JournalFailure } from './failure.js'
