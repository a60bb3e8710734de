import { isLate, type Job } from './job.js'

/** Number of ranks by which an underserved rank is raised, which puts it just above the next one. */
const PROMOTION_RANKS = 1.5

/** A job that waits for a slot. */
export interface QueuedJob {
  readonly job: Job
  /** Orders the jobs of a rank between organisations; lower ones are served first. */
  readonly startTag: number
}

/** The queued jobs of one rank of organisations and one own rank, by start tag and the time their objective passes. */
interface RankQueue {
  readonly organisationRank: number
  readonly rank: number
  readonly entries: QueuedJob[]
}

/** The jobs of one service that wait for a slot, in the order in which they get one. */
export class Queue {
  private readonly ranks: RankQueue[] = []

  /** Number of queued jobs. */
  get size (): number {
    return this.ranks.reduce((sum, { entries }) => sum + entries.length, 0)
  }

  /** @param entry - inserted by rank, start tag and the time at which its objective passes */
  add (entry: QueuedJob): void {
    const { entries } = this.rankOf(entry.job) ?? this.addRank(entry.job)
    let low = 0
    let high = entries.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (precedes(entry, entries[middle]!)) high = middle
      else low = middle + 1
    }
    entries.splice(low, 0, entry)
  }

  /**
   * @param id - id of a job
   * @returns the removed job, or undefined if it is not in the queue
   */
  remove (id: string): QueuedJob | undefined {
    for (const { entries } of this.ranks) {
      const index = entries.findIndex(({ job }) => job.id === id)
      if (index !== -1) return entries.splice(index, 1)[0]
    }
    return undefined
  }

  /** @returns a copy of the queued jobs, in no particular order */
  jobs (): Job[] {
    return this.ranks.flatMap(({ entries }) => entries.map(({ job }) => job))
  }

  /**
   * Iterates over the queued jobs, the next to be served first. Those that are late come last, so that as many callers
   * are served and more of them in time: jobs of the highest rank at the end of that rank, since it yields to no other,
   * and those of other ranks after all that can still meet their objective. The queue must not change meanwhile.
   *
   * @param now - monotonic time, in milliseconds
   * @param isUnderserved - whether jobs of a rank precede those of the rank above it
   */
  * inOrder (now: number, isUnderserved: (rank: number) => boolean = () => false): Generator<Job> {
    const position = ({ rank }: RankQueue): number => isUnderserved(rank) ? rank - PROMOTION_RANKS : rank
    const ranks = this.ranks.filter(({ entries }) => entries.length > 0).map(queue => ({ queue, at: position(queue) }))
      .sort((a, b) => a.queue.organisationRank - b.queue.organisationRank || a.at - b.at).map(({ queue }) => queue)
    for (const { rank, entries } of ranks) {
      for (const { job } of entries) if (!isLate(job, now)) yield job
      if (rank > 0) continue
      for (const { job } of entries) if (isLate(job, now)) yield job
    }
    for (const { rank, entries } of ranks) {
      if (rank === 0) continue
      for (const { job } of entries) if (isLate(job, now)) yield job
    }
  }

  private rankOf (job: Job): RankQueue | undefined {
    return this.ranks.find(({ organisationRank, rank }) => (
      organisationRank === job.organisationRank && rank === job.rank
    ))
  }

  private addRank ({ organisationRank, rank }: Job): RankQueue {
    const added = { organisationRank, rank, entries: [] }
    this.ranks.push(added)
    return added
  }
}

/** Orders the jobs of a rank fairly between organisations, then by the time their objective passes. */
function precedes (a: QueuedJob, b: QueuedJob): boolean {
  return a.startTag === b.startTag ? a.job.objectiveAt < b.job.objectiveAt : a.startTag < b.startTag
}
