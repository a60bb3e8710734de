/** Time in which what was seen falls to a third of its weight, in milliseconds: some waits of lower ranks. */
const FORGET_MS = 5_000

/** Fewer jobs than this, older ones weighing less, say nothing. */
const LEAST_JOBS = 4

/** How much smaller a share a rank may get than the rank above it: it yields first, but not all. */
const MARGIN = 0.1

interface Seen {
  placed: number
  refused: number
  at: number
}

/** Which part of the jobs of each rank got a place lately. */
export class Shares {
  private readonly byRank = new Map<number, Seen>()

  /**
   * @param rank - of a job that got a place, or was refused for want of one
   * @param isPlaced - which of both
   * @param now - steady time, in milliseconds
   */
  saw (rank: number, isPlaced: boolean, now: number): void {
    const seen = this.at(rank, now)
    if (isPlaced) seen.placed++
    else seen.refused++
    this.byRank.set(rank, seen)
  }

  /**
   * Tells whether a rank gets far less than the rank above it. The highest rank gives nothing away for others.
   *
   * @param rank - a rank
   * @param now - steady time, in milliseconds
   * @returns whether its jobs go before those of the rank above it
   */
  isShort (rank: number, now: number): boolean {
    const above = Math.max(...[...this.byRank.keys()].filter(each => each > 0 && each < rank))
    if (!Number.isFinite(above)) return false
    const own = this.share(rank, now)
    const others = this.share(above, now)
    return own !== undefined && others !== undefined && own < others - MARGIN
  }

  private share (rank: number, now: number): number | undefined {
    const { placed, refused } = this.at(rank, now)
    return placed + refused < LEAST_JOBS ? undefined : placed / (placed + refused)
  }

  private at (rank: number, now: number): Seen {
    const seen = this.byRank.get(rank)
    if (seen === undefined) return { placed: 0, refused: 0, at: now }
    const kept = Math.exp(-(now - seen.at) / FORGET_MS)
    return { placed: seen.placed * kept, refused: seen.refused * kept, at: now }
  }
}
