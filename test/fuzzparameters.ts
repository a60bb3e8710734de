const FIXED_SEED = 20_261_203

/**
 * Parameters of a fuzz test. CI uses a fixed seed and few runs. The environment variables FUZZ_SEED and FUZZ_FACTOR
 * change the seed and multiply the number of runs.
 */
export interface FuzzParameters {
  readonly seed: number
  readonly numRuns: number
  /** Includes the counterexample and its seed in the error message. */
  readonly includeErrorInReport: true
}

/**
 * @param numRuns - the number of runs in CI
 * @returns the parameters to pass to fast-check
 */
export function fuzzParameters (numRuns: number): FuzzParameters {
  const seed = Number(process.env.FUZZ_SEED ?? FIXED_SEED)
  const factor = Number(process.env.FUZZ_FACTOR ?? 1)
  return { seed, numRuns: numRuns * factor, includeErrorInReport: true }
}
