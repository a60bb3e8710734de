import { hash, mix } from './hash.js'

interface RankedId {
  id: string
  seed: number
}

/**
 * Rendezvous hashing over a fixed set of ids. Processes with the same set rank
 * the ids for a key identically, and adding or removing an id moves only the
 * keys for which that id ranks first.
 */
export class Ranking {
  private readonly entries: readonly RankedId[]

  /** @param ids - the ids to rank; their order has no effect */
  constructor (ids: Iterable<string>) {
    this.entries = [...ids].sort().map(id => ({ id, seed: hash(id) }))
  }

  /** Number of ranked ids. */
  get size (): number {
    return this.entries.length
  }

  /**
   * @param key - the key to rank the ids for
   * @param count - maximum number of ids
   * @returns up to `count` ids with the highest scores for the key, highest first
   */
  top (key: string, count: number): string[] {
    const keySeed = hash(key)
    const best: Array<{ id: string, score: number }> = []
    for (const candidate of this.entries) {
      const score = mix(candidate.seed ^ keySeed)
      if (best.length === count && score <= best[count - 1]!.score) continue
      let position = best.length
      while (position > 0 && best[position - 1]!.score < score) position--
      best.splice(position, 0, { id: candidate.id, score })
      if (best.length > count) best.pop()
    }
    return best.map(entry => entry.id)
  }

  /**
   * @param key - the key to rank the ids for
   * @returns the id with the highest score for the key, or undefined for an empty set
   */
  first (key: string): string | undefined {
    let winner: RankedId | undefined
    let highestScore = -1
    const keySeed = hash(key)
    for (const candidate of this.entries) {
      const score = mix(candidate.seed ^ keySeed)
      if (score > highestScore) {
        highestScore = score
        winner = candidate
      }
    }
    return winner?.id
  }
}
