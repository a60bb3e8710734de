/** Answers of one version, and how many of them were bad. */
export interface Tally {
  answers: number
  bad: number
}

/** Fewer bad answers than this say nothing. */
const LEAST_BAD = 5

/** How many standard deviations above the old version's share are beyond chance, though each answer is a new look. */
const DEVIATIONS = 4

/**
 * @param fresh - of the version that is moved to
 * @param old - of the other versions
 * @returns whether the first one has more bad answers than chance explains
 */
export function isWorse (fresh: Tally, old: Tally): boolean {
  if (fresh.bad < LEAST_BAD) return false
  // One more of each kind: a share of few answers is not taken for certain.
  const share = (old.bad + 1) / (old.answers + 2)
  const expected = fresh.answers * share
  return fresh.bad - expected > DEVIATIONS * Math.sqrt(expected * (1 - share))
}
