import { Heap } from './heap.js'
import type { Job } from './job.js'

/** Work that one organisation may be served ahead of another before fairness counts, in milliseconds of service. */
export const FAIR_LEAD_MS = 10_000

interface Share {
  readonly organisation: string
  readonly waiting: Heap<Job>
  /** Work served so far, on a scale shared by all organisations. */
  served: number
}

/**
 * The waiting jobs of one tier. The job that must start soonest goes first,
 * unless its organisation is further ahead in served work than the lead allows.
 */
export class Line {
  private readonly shares = new Map<string, Share>()
  private readonly gone = new Set<string>()
  private readonly present = new Map<string, Job>()
  private floor = 0

  /** How many jobs wait. */
  get size (): number {
    return this.present.size
  }

  /** @returns the waiting jobs, in no order */
  values (): IterableIterator<Job> {
    return this.present.values()
  }

  /** @param job - waits from now on */
  push (job: Job): void {
    this.present.set(job.id, job)
    let share = this.shares.get(job.organisation)
    if (share === undefined) {
      const waiting = new Heap<Job>((a, b) => a.startBy < b.startBy)
      share = { organisation: job.organisation, waiting, served: this.floor }
      this.shares.set(job.organisation, share)
    }
    share.waiting.push(job)
  }

  /**
   * @param id - a job's id
   * @returns the job, no longer waiting, or undefined if it did not wait
   */
  remove (id: string): Job | undefined {
    const job = this.present.get(id)
    if (job === undefined) return undefined
    this.present.delete(id)
    this.gone.add(id)
    return job
  }

  /** @returns the job to serve next, or undefined if none waits */
  peek (): Job | undefined {
    return this.choose()?.waiting.peek()
  }

  /**
   * @param workMs - the work that the job is expected to take, in milliseconds
   * @returns the job to serve next, no longer waiting
   */
  pop (workMs: (job: Job) => number): Job | undefined {
    const share = this.choose()
    const job = share?.waiting.pop()
    if (share === undefined || job === undefined) return undefined
    this.present.delete(job.id)
    share.served += workMs(job)
    return job
  }

  private choose (): Share | undefined {
    let least = Infinity
    for (const share of this.shares.values()) {
      this.skipGone(share)
      if (share.waiting.size === 0) this.shares.delete(share.organisation)
      else least = Math.min(least, share.served)
    }
    if (least === Infinity) return undefined
    this.floor = Math.max(this.floor, least)
    let chosen: Share | undefined
    for (const share of this.shares.values()) {
      if (share.served > least + FAIR_LEAD_MS) continue
      if (chosen === undefined || share.waiting.peek()!.startBy < chosen.waiting.peek()!.startBy) chosen = share
    }
    return chosen
  }

  private skipGone (share: Share): void {
    for (let job = share.waiting.peek(); job !== undefined && this.gone.has(job.id); job = share.waiting.peek()) {
      share.waiting.pop()
      this.gone.delete(job.id)
    }
  }
}
