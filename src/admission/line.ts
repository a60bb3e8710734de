import { Heap } from './heap.js'
import type { Job } from './job.js'

/** Work that one organisation may be served ahead of another before fairness counts, in milliseconds of service. */
export const FAIR_LEAD_MS = 2_000

/** Jobs that go before another. */
export interface Ahead {
  readonly jobs: number
  /** Their expected service time, in milliseconds. */
  readonly workMs: number
}

interface Entry {
  readonly job: Job
  readonly workMs: number
}

interface Share {
  readonly organisation: string
  readonly waiting: Heap<Entry>
  /** Work served so far, on a scale shared by all organisations. */
  served: number
  jobs: number
  workMs: number
}

/**
 * The waiting jobs of one tier. The job that must start soonest goes first,
 * unless its organisation is further ahead in served work than the lead allows.
 */
export class Line {
  private readonly shares = new Map<string, Share>()
  private readonly gone = new Set<string>()
  private readonly present = new Map<string, Entry>()
  private floor = 0
  private workMs = 0

  /** How many jobs wait. */
  get size (): number {
    return this.present.size
  }

  /** All that waits. */
  get all (): Ahead {
    return { jobs: this.present.size, workMs: this.workMs }
  }

  /** @returns the waiting jobs, in no order */
  values (): Job[] {
    return [...this.present.values()].map(entry => entry.job)
  }

  /**
   * Estimates what goes before a new job of an organisation: of each other
   * organisation, no more than the organisation itself has waiting.
   *
   * @param organisation - the organisation
   * @param workMs - the new job's expected service time, in milliseconds
   * @returns what goes before it
   */
  ahead (organisation: string, workMs: number): Ahead {
    const own = this.shares.get(organisation)
    const bound = (own?.workMs ?? 0) + workMs
    let jobs = 0
    let sumMs = 0
    for (const share of this.shares.values()) {
      const partMs = Math.min(share.workMs, bound)
      sumMs += partMs
      jobs += share.workMs === 0 ? 0 : share.jobs * partMs / share.workMs
    }
    return { jobs, workMs: sumMs }
  }

  /**
   * @param job - waits from now on
   * @param workMs - its expected service time, in milliseconds
   */
  push (job: Job, workMs: number): void {
    const entry = { job, workMs }
    this.present.set(job.id, entry)
    const share = this.shareOf(job.organisation)
    share.waiting.push(entry)
    this.count(share, 1, workMs)
  }

  /**
   * @param id - a job's id
   * @returns the job, no longer waiting, or undefined if it did not wait
   */
  remove (id: string): Job | undefined {
    const entry = this.present.get(id)
    if (entry === undefined) return undefined
    this.present.delete(id)
    this.gone.add(id)
    this.count(this.shareOf(entry.job.organisation), -1, -entry.workMs)
    return entry.job
  }

  /** @returns the job to serve next, or undefined if none waits */
  peek (): Job | undefined {
    return this.choose()?.waiting.peek()?.job
  }

  /** @returns the job to serve next, no longer waiting, or undefined if none waits */
  pop (): Job | undefined {
    const share = this.choose()
    const entry = share?.waiting.pop()
    if (share === undefined || entry === undefined) return undefined
    this.present.delete(entry.job.id)
    share.served += entry.workMs
    this.count(share, -1, -entry.workMs)
    return entry.job
  }

  private shareOf (organisation: string): Share {
    let share = this.shares.get(organisation)
    if (share === undefined) {
      const waiting = new Heap<Entry>((a, b) => a.job.startBy < b.job.startBy)
      share = { organisation, waiting, served: this.floor, jobs: 0, workMs: 0 }
      this.shares.set(organisation, share)
    }
    return share
  }

  private count (share: Share, jobs: number, workMs: number): void {
    share.jobs += jobs
    share.workMs = share.jobs === 0 ? 0 : share.workMs + workMs
    this.workMs = this.present.size === 0 ? 0 : this.workMs + workMs
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
      if (chosen === undefined || startOf(share) < startOf(chosen)) chosen = share
    }
    return chosen
  }

  private skipGone (share: Share): void {
    for (let entry = share.waiting.peek(); entry !== undefined; entry = share.waiting.peek()) {
      if (!this.gone.delete(entry.job.id)) return
      share.waiting.pop()
    }
  }
}

function startOf (share: Share): number {
  return share.waiting.peek()!.job.startBy
}
