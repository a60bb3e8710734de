/** What a host understands of the messages of others and reports itself; each value includes the earlier ones. */
export const Protocol = {
  /** The host's build states none. It may not report what servers state in their responses. */
  unstated: 0,
  /** It reports each limit of requests that a server states. */
  statements: 1,
  /** It takes changes of the store's rows from the scheduler that it uses. */
  feed: 2,
  /** It keeps which whole requests crash servers, and hands it over to the next scheduler. */
  crashedRequests: 3
} as const

/** The protocol of this build. */
export const CURRENT_PROTOCOL = Protocol.crashedRequests
