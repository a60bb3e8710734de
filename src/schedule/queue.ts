import { type Job, ranksBelow } from './job.js'

/** Number of ranks by which an underserved rank is raised, which puts it just above the next one. */
const PROMOTION_RANKS = 1.5

/** The jobs of one service that wait for a slot, in the order in which they get one. */
export class Queue {
  private readonly jobs: Job[] = []

  /** Number of queued jobs. */
  get size (): number {
    return this.jobs.length
  }

  /** @param job - inserted by rank and by the time at which its objective passes */
  add (job: Job): void {
    let low = 0
    let high = this.jobs.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (precedes(job, this.jobs[middle]!)) high = middle
      else low = middle + 1
    }
    this.jobs.splice(low, 0, job)
  }

  /**
   * @param id - id of a job
   * @returns the removed job, or undefined if it is not in the queue
   */
  remove (id: string): Job | undefined {
    const index = this.jobs.findIndex(job => job.id === id)
    return index === -1 ? undefined : this.jobs.splice(index, 1)[0]
  }

  /**
   * Lists the queued jobs. Within a rank, jobs that can still meet their objective precede those that have missed it:
   * the same number of callers is served, and more of them in time.
   *
   * @param now - monotonic time, in milliseconds
   * @param isUnderserved - whether jobs of a rank precede those of the rank above it
   * @returns a copy, the next job to be served first
   */
  list (now: number, isUnderserved: (rank: number) => boolean = () => false): Job[] {
    return this.promote(this.listLateLast(now), isUnderserved)
  }

  /** Sorts the jobs of underserved ranks before those of the rank above. */
  private promote (jobs: Job[], isUnderserved: (rank: number) => boolean): Job[] {
    const ranks = new Set(jobs.map(job => job.rank))
    const promoted = new Set([...ranks].filter(isUnderserved))
    if (promoted.size === 0) return jobs
    const effectiveRank = (job: Job): number => promoted.has(job.rank) ? job.rank - PROMOTION_RANKS : job.rank
    return jobs.sort((a, b) => a.organisationRank - b.organisationRank || effectiveRank(a) - effectiveRank(b))
  }

  /** Lists the jobs with those that have missed their objective at the end of their rank. */
  private listLateLast (now: number): Job[] {
    const ordered: Job[] = []
    let late: Job[] = []
    for (const [index, job] of this.jobs.entries()) {
      const previous = this.jobs[index - 1]
      if (previous !== undefined && ranksBelow(job, previous)) {
        ordered.push(...late)
        late = []
      }
      if (job.objectiveAt <= now) late.push(job)
      else ordered.push(job)
    }
    ordered.push(...late)
    return ordered
  }
}

/** Orders by rank, that of the organisation first; within a rank, by the time at which the objective passes. */
function precedes (a: Job, b: Job): boolean {
  if (ranksBelow(b, a)) return true
  return !ranksBelow(a, b) && a.objectiveAt < b.objectiveAt
}
