/** Time constant of the decay of the counts, in milliseconds: a few queue timeouts of lower ranks. */
const DECAY_MS = 5_000

/** Decayed number of jobs below which a rank's grant rate is not significant. */
const MIN_JOBS = 4

/** How far a rank's grant rate may fall below that of the rank above: lower ranks are refused first, but not always. */
const MARGIN = 0.1

interface Counts {
  granted: number
  refused: number
  at: number
}

/** Share of the recent jobs of each rank that were granted a slot. */
export class GrantRates {
  private readonly byRank = new Map<number, Counts>()

  /**
   * Counts a job that was granted a slot, or refused because none was free.
   *
   * @param rank - the job's rank
   * @param isGranted - whether the job was granted a slot
   * @param now - monotonic time, in milliseconds
   */
  recordResult (rank: number, isGranted: boolean, now: number): void {
    const counts = this.countsAt(rank, now)
    if (isGranted) counts.granted++
    else counts.refused++
    this.byRank.set(rank, counts)
  }

  /**
   * Tells whether a rank's grant rate is well below that of the rank above it. The highest rank is not compared, so
   * that it gives up no slots.
   *
   * @param rank - the rank to compare
   * @param now - monotonic time, in milliseconds
   * @returns whether the rank's jobs should precede those of the rank above it
   */
  isUnderserved (rank: number, now: number): boolean {
    const rankAbove = Math.max(...[...this.byRank.keys()].filter(each => each > 0 && each < rank))
    if (!Number.isFinite(rankAbove)) return false
    const own = this.grantRate(rank, now)
    const above = this.grantRate(rankAbove, now)
    return own !== undefined && above !== undefined && own < above - MARGIN
  }

  /**
   * @param rank - a rank
   * @param now - monotonic time, in milliseconds
   * @returns the share of its recent jobs that were granted a slot; undefined if there were too few
   */
  grantRate (rank: number, now: number): number | undefined {
    const { granted, refused } = this.countsAt(rank, now)
    return granted + refused < MIN_JOBS ? undefined : granted / (granted + refused)
  }

  private countsAt (rank: number, now: number): Counts {
    const counts = this.byRank.get(rank)
    if (counts === undefined) return { granted: 0, refused: 0, at: now }
    const decay = Math.exp(-(now - counts.at) / DECAY_MS)
    return { granted: counts.granted * decay, refused: counts.refused * decay, at: now }
  }
}
