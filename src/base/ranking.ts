import { hash, mix } from './hash.js'

interface Seat {
  id: string
  seed: number
}

/**
 * Rendezvous hashing over a fixed set of ids: every holder of the same set
 * ranks the ids for a key alike, and a change of one id moves only the keys
 * that it ranked first for.
 */
export class Ranking {
  private readonly seats: readonly Seat[]

  /** @param ids - the ids to rank, in any order */
  constructor (ids: Iterable<string>) {
    this.seats = [...ids].sort().map(id => ({ id, seed: hash(id) }))
  }

  /** How many ids are ranked. */
  get size (): number {
    return this.seats.length
  }

  /**
   * @param key - what to rank the ids for
   * @param count - how many ids are wanted
   * @returns the first `count` ids for the key, best first; fewer if there are fewer
   */
  top (key: string, count: number): string[] {
    const keySeed = hash(key)
    const best: Array<{ id: string, score: number }> = []
    for (const seat of this.seats) {
      const score = mix(seat.seed ^ keySeed)
      if (best.length === count && score <= best[count - 1]!.score) continue
      let at = best.length
      while (at > 0 && best[at - 1]!.score < score) at--
      best.splice(at, 0, { id: seat.id, score })
      if (best.length > count) best.pop()
    }
    return best.map(entry => entry.id)
  }

  /**
   * @param key - what to rank the ids for
   * @returns the best id, or undefined for an empty set
   */
  first (key: string): string | undefined {
    let found: Seat | undefined
    let highest = -1
    const keySeed = hash(key)
    for (const seat of this.seats) {
      const score = mix(seat.seed ^ keySeed)
      if (score > highest) {
        highest = score
        found = seat
      }
    }
    return found?.id
  }
}
