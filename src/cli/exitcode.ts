/** The exit codes of the program. */
export const ExitCode = {
  success: 0,
  /** The command failed. */
  failure: 1,
  /** A file or an argument is invalid. */
  invalid: 2,
  /** The configuration was changed meanwhile; nothing was applied. */
  conflict: 3,
  /** The host did not respond. */
  unreachable: 4
} as const

/** One of the values of {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]
