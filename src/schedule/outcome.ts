/** What became of a request at its server. */
export const Outcome = {
  /** A whole answer came. */
  done: 'done',
  /** The server answered with a failure of its own. */
  failed: 'failed',
  /** The server said that it did not run the request. */
  rejected: 'rejected',
  /** Another server has the address. */
  misdirected: 'misdirected',
  /** No connection came about; nothing was sent. */
  unreachable: 'unreachable',
  /** The connection ended before the answer was whole. */
  broken: 'broken',
  /** The server sent nothing for too long. */
  silent: 'silent',
  /** The request can't be written; no server was asked. */
  unsendable: 'unsendable',
  /** The caller left, or the host gave up for a reason that says nothing about the server. */
  cancelled: 'cancelled'
} as const

/** One of the values of {@link Outcome}. */
export type Outcome = typeof Outcome[keyof typeof Outcome]
