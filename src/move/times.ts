/** Times of this many answers make up what is usual for a server. */
const KEPT_TIMES = 15

/** Fewer times than this say nothing. */
const LEAST_TIMES = 5

/** An answer that took this many times as long as usual is slow: engines of one kind differ by less under load. */
const SLOW_FACTOR = 2.5

interface Usual {
  readonly isFresh: boolean
  readonly times: number[]
}

/** What is usual for the servers of one route, and which answers are slow against it. */
export class Times {
  private readonly servers = new Map<string, Usual>()

  /**
   * Takes the time of one answer.
   *
   * @param server - the server's id
   * @param isFresh - whether it has the version that is moved to
   * @param stepMs - pause between events, or length of the call; in milliseconds
   * @returns whether the answer was slow for its server, or slower than servers of other versions are
   */
  take (server: string, isFresh: boolean, stepMs: number): boolean {
    let usual = this.servers.get(server)
    if (usual === undefined) {
      usual = { isFresh, times: [] }
      this.servers.set(server, usual)
    }
    const known = [median(usual.times), isFresh ? this.slowestOld() : undefined].filter(ms => ms !== undefined)
    usual.times.push(stepMs)
    if (usual.times.length > KEPT_TIMES) usual.times.shift()
    return known.length > 0 && stepMs > SLOW_FACTOR * Math.min(...known)
  }

  private slowestOld (): number | undefined {
    let slowest: number | undefined
    for (const { isFresh, times } of this.servers.values()) {
      const usual = isFresh ? undefined : median(times)
      if (usual !== undefined && (slowest === undefined || usual > slowest)) slowest = usual
    }
    return slowest
  }
}

function median (times: readonly number[]): number | undefined {
  if (times.length < LEAST_TIMES) return undefined
  return [...times].sort((a, b) => a - b)[times.length >> 1]
}
