/** Number of responses, and how many of them failed or were slow. */
export interface ResponseCounts {
  responses: number
  bad: number
}

/** Fewer bad responses than this are never significant. */
const MIN_BAD_RESPONSES = 5

/**
 * Standard deviations above the expected number of bad responses that are significant. The test is repeated after
 * each response, so chance alone exceeds a low threshold sooner or later.
 */
const SIGNIFICANT_DEVIATIONS = 4

/**
 * @param canary - counts of the version to migrate to
 * @param stable - counts of the other versions
 * @returns whether the canary has more bad responses than chance explains
 */
export function isSignificantlyWorse (canary: ResponseCounts, stable: ResponseCounts): boolean {
  if (canary.bad < MIN_BAD_RESPONSES) return false
  // Add-one smoothing keeps the share away from 0 and 1 when there are few responses.
  const badShare = (stable.bad + 1) / (stable.responses + 2)
  const expectedBad = canary.responses * badShare
  return canary.bad - expectedBad > SIGNIFICANT_DEVIATIONS * Math.sqrt(expectedBad * (1 - badShare))
}
