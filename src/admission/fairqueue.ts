import { Heap } from './heap.js'
import type { Job } from './job.js'

/**
 * How far an organisation's served work may lead that of the least served
 * waiting organisation before its jobs are held back, in milliseconds of
 * service time.
 */
export const MAX_SERVICE_LEAD_MS = 2_000

/** An amount of waiting work. */
export interface QueuedWork {
  /** Number of jobs; a fraction in an estimate. */
  readonly jobs: number
  /** Their expected service time, in milliseconds. */
  readonly workMs: number
}

interface QueueEntry {
  readonly job: Job
  /** Expected service time, in milliseconds. */
  readonly workMs: number
}

interface OrganisationQueue {
  readonly organisation: string
  /** Entries by start deadline; includes removed ones until they reach the front. */
  readonly entries: Heap<QueueEntry>
  /**
   * Service time of the jobs taken from the queue, in milliseconds, plus the
   * value that the queue started with.
   */
  servedMs: number
  /** Number of waiting jobs. */
  jobs: number
  /** Expected service time of the waiting jobs, in milliseconds. */
  workMs: number
}

/**
 * The waiting jobs of one tier, fair between organisations. The job with the
 * earliest start deadline is served first, among the organisations whose
 * served work is within {@link MAX_SERVICE_LEAD_MS} of the least served one.
 */
export class FairQueue {
  private readonly queues = new Map<string, OrganisationQueue>()
  /** Ids of removed jobs that are still in the heap of their organisation. */
  private readonly removedIds = new Set<string>()
  /** Waiting jobs by id. */
  private readonly entries = new Map<string, QueueEntry>()
  /** Initial served work of a new queue, so that an organisation gains no advantage while it has no waiting jobs. */
  private initialServedMs = 0
  private workMs = 0

  /** Number of waiting jobs. */
  get size (): number {
    return this.entries.size
  }

  /** Work of all waiting jobs. */
  get total (): QueuedWork {
    return { jobs: this.entries.size, workMs: this.workMs }
  }

  /** @returns the waiting jobs, in no particular order */
  jobs (): Job[] {
    return [...this.entries.values()].map(entry => entry.job)
  }

  /**
   * Estimates the work that is served before a new job of an organisation. Of
   * each organisation it counts at most as much work as the new job's
   * organisation has queued, including the new job.
   *
   * @param organisation - name of the job's organisation
   * @param workMs - expected service time of the job, in milliseconds
   * @returns the work served before the job
   */
  workAhead (organisation: string, workMs: number): QueuedWork {
    const own = this.queues.get(organisation)
    const maxPartMs = (own?.workMs ?? 0) + workMs
    let jobs = 0
    let totalMs = 0
    for (const queue of this.queues.values()) {
      const partMs = Math.min(queue.workMs, maxPartMs)
      totalMs += partMs
      jobs += queue.workMs === 0 ? 0 : queue.jobs * partMs / queue.workMs
    }
    return { jobs, workMs: totalMs }
  }

  /**
   * @param job - the job to queue
   * @param workMs - its expected service time, in milliseconds
   */
  push (job: Job, workMs: number): void {
    const entry = { job, workMs }
    this.entries.set(job.id, entry)
    const queue = this.queueOf(job.organisation)
    queue.entries.push(entry)
    this.addToTotals(queue, 1, workMs)
  }

  /**
   * @param id - id of the job to remove
   * @returns the removed job, or undefined if it was not waiting
   */
  remove (id: string): Job | undefined {
    const entry = this.entries.get(id)
    if (entry === undefined) return undefined
    this.entries.delete(id)
    this.removedIds.add(id)
    this.addToTotals(this.queueOf(entry.job.organisation), -1, -entry.workMs)
    return entry.job
  }

  /** @returns the job to serve next, which stays in the queue, or undefined if none waits */
  peek (): Job | undefined {
    return this.nextQueue()?.entries.peek()?.job
  }

  /** @returns the job to serve next, removed from the queue, or undefined if none waits */
  pop (): Job | undefined {
    const queue = this.nextQueue()
    const entry = queue?.entries.pop()
    if (queue === undefined || entry === undefined) return undefined
    this.entries.delete(entry.job.id)
    queue.servedMs += entry.workMs
    this.addToTotals(queue, -1, -entry.workMs)
    return entry.job
  }

  private queueOf (organisation: string): OrganisationQueue {
    let queue = this.queues.get(organisation)
    if (queue === undefined) {
      const entries = new Heap<QueueEntry>((a, b) => a.job.startBy < b.job.startBy)
      queue = { organisation, entries, servedMs: this.initialServedMs, jobs: 0, workMs: 0 }
      this.queues.set(organisation, queue)
    }
    return queue
  }

  /** Sets the sums to 0 when nothing waits, so that rounding errors do not accumulate. */
  private addToTotals (queue: OrganisationQueue, jobs: number, workMs: number): void {
    queue.jobs += jobs
    queue.workMs = queue.jobs === 0 ? 0 : queue.workMs + workMs
    this.workMs = this.entries.size === 0 ? 0 : this.workMs + workMs
  }

  /** Chooses the organisation to serve next, and deletes queues without waiting jobs. */
  private nextQueue (): OrganisationQueue | undefined {
    let leastServedMs = Infinity
    for (const queue of this.queues.values()) {
      this.dropRemoved(queue)
      if (queue.entries.size === 0) this.queues.delete(queue.organisation)
      else leastServedMs = Math.min(leastServedMs, queue.servedMs)
    }
    if (leastServedMs === Infinity) return undefined
    this.initialServedMs = Math.max(this.initialServedMs, leastServedMs)
    let chosen: OrganisationQueue | undefined
    for (const queue of this.queues.values()) {
      if (queue.servedMs > leastServedMs + MAX_SERVICE_LEAD_MS) continue
      if (chosen === undefined || earliestStartBy(queue) < earliestStartBy(chosen)) chosen = queue
    }
    return chosen
  }

  /** Drops removed jobs from the front of the heap. */
  private dropRemoved (queue: OrganisationQueue): void {
    for (let entry = queue.entries.peek(); entry !== undefined; entry = queue.entries.peek()) {
      if (!this.removedIds.delete(entry.job.id)) return
      queue.entries.pop()
    }
  }
}

function earliestStartBy (queue: OrganisationQueue): number {
  return queue.entries.peek()!.job.startBy
}
