const FIXED_SEED = 20_261_203

/** What a fuzz test runs with: a fixed seed and few runs in CI; both can be set for long random runs. */
export interface Runs {
  readonly seed: number
  readonly numRuns: number
  /** Puts the counterexample with its seed into the message. */
  readonly includeErrorInReport: true
}

/**
 * @param numRuns - how many runs CI makes
 * @returns the seed and the number of runs
 */
export function runs (numRuns: number): Runs {
  const seed = Number(process.env.FUZZ_SEED ?? FIXED_SEED)
  const factor = Number(process.env.FUZZ_FACTOR ?? 1)
  return { seed, numRuns: numRuns * factor, includeErrorInReport: true }
}
