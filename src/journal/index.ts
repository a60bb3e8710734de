/** Append-only logs, kept in the platform's table. */
export { Journal, type Identifiable, type Revisioned } from './journal.js'
export { type JournalFailureCode, JournalFailure } from './failure.js'
