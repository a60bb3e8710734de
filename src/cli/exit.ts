/** What the process's exit code means. */
export const Exit = {
  done: 0,
  /** It could not be done. */
  failed: 1,
  /** A file or an argument is wrong. */
  invalid: 2,
  /** Another change came first; nothing was changed. */
  conflict: 3,
  /** The host can't be reached. */
  unreachable: 4
} as const

/** One of the values of {@link Exit}. */
export type Exit = typeof Exit[keyof typeof Exit]
