import { FairShares } from './fairness/index.js'
import { GrantRates } from './grantrates.js'
import type { Job } from './job.js'
import { Queue } from './queue.js'
import { type RetryLimits, RetryBudget, SCHEDULER_BUDGET_SHARE } from './retrybudget.js'

/** Scheduling state of one service: its queue, how it is served, and its retry budget. */
export class ServiceState {
  readonly queue = new Queue()
  /** How often jobs of each rank are granted a slot. */
  readonly grantRates = new GrantRates()
  readonly retryBudget: RetryBudget
  /** Revision of the crash evidence against which the queued jobs were last checked. */
  private crashRevision = 0
  private readonly fairShares = new FairShares()

  /** @param limits - limits of the retry budget */
  constructor (limits: RetryLimits) {
    this.retryBudget = new RetryBudget(limits, SCHEDULER_BUDGET_SHARE)
  }

  /**
   * @param revision - revision of the crash evidence
   * @returns whether the queued jobs were not checked against it yet; they are taken as checked from now on
   */
  hasNewCrashes (revision: number): boolean {
    const isNew = revision !== this.crashRevision
    this.crashRevision = revision
    return isNew
  }

  /**
   * Queues a job.
   *
   * @param job - the job
   * @param weight - weight of its organisation against others, above 0
   */
  enqueue (job: Job, weight: number): void {
    this.queue.add({ job, startTag: this.fairShares.queue(job, weight) })
  }

  /**
   * Removes a job from the queue that is granted a slot.
   *
   * @param job - the job
   * @param now - monotonic time, in milliseconds
   */
  recordGrant (job: Job, now: number): void {
    const entry = this.queue.remove(job.id)
    if (entry !== undefined) this.fairShares.recordGrant(entry.startTag)
    this.grantRates.recordResult(job.rank, true, now)
  }

  /**
   * Removes a job from the queue that gets no slot.
   *
   * @param id - the job's id
   * @returns the job, or undefined if it is not queued
   */
  drop (id: string): Job | undefined {
    return this.queue.remove(id)?.job
  }

  /**
   * Iterates over the queued jobs, the next one to be served first; the queue must not change meanwhile.
   *
   * @param now - monotonic time, in milliseconds
   * @returns the jobs
   */
  inOrder (now: number): Iterable<Job> {
    return this.queue.inOrder(now, rank => this.grantRates.isUnderserved(rank, now))
  }
}
