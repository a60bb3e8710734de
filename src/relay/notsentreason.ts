/** Why a host did not send a request that it was to relay. */
export const NotSentReason = {
  /** It cannot reach servers either, or it stops. */
  noPath: 'no-path',
  /** It may not send requests to the server, which leaves, asked it for a pause or is unknown to it. */
  unusable: 'unusable',
  /** It reaches servers, but not this one. */
  unreachable: 'unreachable',
  /** The request is invalid. */
  unsendable: 'unsendable'
} as const

/** One of the values of {@link NotSentReason}. */
export type NotSentReason = typeof NotSentReason[keyof typeof NotSentReason]
