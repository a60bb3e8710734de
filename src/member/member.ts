/** The phases of a member's life. */
export const Phase = {
  /** Accepts new work. */
  live: 'live',
  /** Drains: completes the work that it has and accepts no more. */
  leaving: 'leaving'
} as const

/** One of the values of {@link Phase}. */
export type Phase = typeof Phase[keyof typeof Phase]

/** One incarnation of the process on a host. A restarted process is a new member. */
export interface Member {
  /** The host's name and the incarnation; never used again by a later process. */
  readonly id: string
  readonly host: string
  readonly dataCentre: string
  /** IP address and port at which other hosts connect. */
  readonly peerAddress: string
  /** IP address and port at which callers connect. */
  readonly callerAddress: string
  readonly phase: Phase
}
