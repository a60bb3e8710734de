import { type Job, ranksBelow } from './job.js'

/** By how many ranks jobs of a rank that gets too little are lifted: just above the next one. */
const PROMOTION = 1.5

/** The jobs of one service that wait for a place, in the order in which they get one. */
export class Line {
  private readonly jobs: Job[] = []

  /** How many jobs wait. */
  get size (): number {
    return this.jobs.length
  }

  /** @param job - waits from now on, behind those that go before it */
  add (job: Job): void {
    let low = 0
    let high = this.jobs.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (goesBefore(job, this.jobs[middle]!)) high = middle
      else low = middle + 1
    }
    this.jobs.splice(low, 0, job)
  }

  /**
   * @param id - the id of a job
   * @returns the job, taken out, or undefined if it does not wait here
   */
  remove (id: string): Job | undefined {
    const at = this.jobs.findIndex(job => job.id === id)
    return at === -1 ? undefined : this.jobs.splice(at, 1)[0]
  }

  /**
   * Lists the waiting jobs. Within a rank, jobs that can still be on time go before those that are late already:
   * as many callers are served, and more of them in time.
   *
   * @param now - steady time, in milliseconds
   * @param isShort - whether jobs of a rank go before those of the rank above it
   * @returns a copy, first one first
   */
  list (now: number, isShort: (rank: number) => boolean = () => false): Job[] {
    return this.promote(this.inRanks(now), isShort)
  }

  private promote (jobs: Job[], isShort: (rank: number) => boolean): Job[] {
    const ranks = new Set(jobs.map(job => job.rank))
    const short = new Set([...ranks].filter(isShort))
    if (short.size === 0) return jobs
    const above = (job: Job): number => short.has(job.rank) ? job.rank - PROMOTION : job.rank
    return jobs.sort((a, b) => a.organisationRank - b.organisationRank || above(a) - above(b))
  }

  private inRanks (now: number): Job[] {
    const ordered: Job[] = []
    let late: Job[] = []
    for (const [at, job] of this.jobs.entries()) {
      const before = this.jobs[at - 1]
      if (before !== undefined && ranksBelow(job, before)) {
        ordered.push(...late)
        late = []
      }
      if (job.lateAt <= now) late.push(job)
      else ordered.push(job)
    }
    ordered.push(...late)
    return ordered
  }
}

/** Ranks in the operators' order, those of organisations first; within a rank, whose objective passes first. */
function goesBefore (a: Job, b: Job): boolean {
  if (ranksBelow(b, a)) return true
  return !ranksBelow(a, b) && a.lateAt < b.lateAt
}
