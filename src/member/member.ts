/** Whether a member takes new work. */
export const Phase = {
  live: 'live',
  /** Finishes what it has and takes nothing new. */
  leaving: 'leaving'
} as const

/** One of the values of {@link Phase}. */
export type Phase = typeof Phase[keyof typeof Phase]

/** One run of a process on a host. A restarted process is another member. */
export interface Member {
  /** Unique over all time: the host's name and the incarnation. */
  readonly id: string
  readonly host: string
  readonly dataCentre: string
  /** Where other hosts connect: IP number and port. */
  readonly peerAddress: string
  /** Where callers connect: IP number and port. */
  readonly callerAddress: string
  readonly phase: Phase
}
